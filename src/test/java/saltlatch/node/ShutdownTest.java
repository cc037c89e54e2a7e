package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.api.GatewayEvent;

/**
 * A planned shutdown that coincides with client activity. The node answers every request that it
 * has read, and forwards none after it has ended.
 */
@Timeout(60)
class ShutdownTest extends NodeHarness {
  private static final String PING = "*1\r\n$4\r\nPING\r\n";

  private CompletableFuture<Void> stopNode() {
    stopped = true;
    return node.stop().toCompletionStage().toCompletableFuture();
  }

  /**
   * When the shutdown begins, 300 connections with a request each wait to be accepted. All are
   * served.
   */
  @Test
  void servesConnectionsInTheAcceptBacklog() throws Exception {
    CountDownLatch loopBlocked = new CountDownLatch(1);
    CountDownLatch releaseLoop = new CountDownLatch(1);
    eventHandler = event -> {
      if (!(event instanceof GatewayEvent.RequestArrived)) return;
      loopBlocked.countDown();
      try {
        assertTrue(releaseLoop.await(20, TimeUnit.SECONDS));
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
      actions.reject(requestIdOf(event), 0);
    };
    Socket blockingClient = connectClient();
    send(blockingClient, queryCommand(0));
    assertTrue(loopBlocked.await(20, TimeUnit.SECONDS));
    List<Socket> waitingClients = new ArrayList<>();
    for (int i = 1; i <= 300; i++) {
      Socket client = connectClient();
      send(client, queryCommand(i));
      waitingClients.add(client);
    }
    CompletableFuture<Void> stopFuture = stopNode();
    releaseLoop.countDown();
    for (Socket client : waitingClients) assertEquals("-BUSY", readLine(client));
    for (Socket client : waitingClients) assertEquals("closed", readLine(client));
    stopFuture.get(5, TimeUnit.SECONDS);
  }

  /**
   * Clients send requests until their connections end. Every request that the node read is
   * answered; one without an answer was not read.
   */
  @Test
  void answersEveryRequestThatItReads() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(event), 0);
    };
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) clients.add(answeredClient());
    eventTexts.clear();
    CompletableFuture<Void> stopFuture = stopNode();
    int answered = 0;
    for (int round = 0; !clients.isEmpty(); round++) {
      for (int i = 0; i < clients.size(); i++) send(clients.get(i), queryCommand(100 * round + i));
      for (Socket client : List.copyOf(clients)) {
        if (readLineOrReset(client).equals("-BUSY")) answered++;
        else clients.remove(client);
      }
    }
    stopFuture.get(5, TimeUnit.SECONDS);
    long arrived = eventTexts.stream().filter(text -> text.startsWith("arrived")).count();
    // the listener itself rejects the last requests, so that these do not reach the policy
    assertTrue(arrived <= answered, arrived + " read and " + answered + " answered");
  }

  /**
   * Replies that a client has not yet read when the shutdown begins still reach it completely
   * before its connection ends.
   */
  @Test
  void deliversQueuedRepliesBeforeClosing() throws Exception {
    Socket client = connectClient();
    String infoCommand = "*1\r\n$4\r\nINFO\r\n";
    for (int i = 0; i < 2_000; i++) send(client, infoCommand);
    CompletableFuture<Void> stopFuture = stopNode();
    int replies = 0;
    for (String line = readLine(client); !line.equals("closed"); line = readLine(client))
      if (line.startsWith("held=")) replies++;
    assertEquals(2_000, replies);
    stopFuture.get(5, TimeUnit.SECONDS);
  }

  /**
   * An app server hangs during the shutdown. The request is aborted in time, and the late reply is
   * ignored.
   */
  @Test
  void abortsInTimeIfAnAppServerHangs() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived)
        actions.startAttempt(requestIdOf(event), 0, 80_000);
    };
    Socket client = connectClient();
    send(client, queryCommand(0));
    Socket connection = accept(appServer);
    readLines(connection, 9);
    long startNanos = System.nanoTime();
    CompletableFuture<Void> stopFuture = stopNode();
    assertEquals("-ERR aborted closed", readLines(client, 2));
    long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
    // SIGKILL comes at least 1.7 s after SIGTERM, and 3.7 s after it if deadlines are long
    assertTrue(elapsedMs < 3_400, elapsedMs + " ms");
    send(connection, "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n");
    stopFuture.get(5, TimeUnit.SECONDS);
  }

  /** A node that is stopped before it is ready never becomes ready, and ends at once. */
  @Test
  void stopBeforeTheStartPreventsReadiness() throws Exception {
    EdgeNode unstartedNode = new EdgeNode(NodeConfigurationReader.read(configurationJson()));
    CompletableFuture<Void> stopFuture = unstartedNode.stop().toCompletionStage()
        .toCompletableFuture();
    CompletableFuture<Void> startFuture = unstartedNode
        .start((nowTicks, settings, policyActions) -> (eventTicks, events) -> {})
        .toCompletionStage().toCompletableFuture();
    assertThrows(ExecutionException.class, () -> startFuture.get(5, TimeUnit.SECONDS));
    stopFuture.get(5, TimeUnit.SECONDS);
  }

  /** Part of a command waits for the rest during the shutdown; once complete, it is answered. */
  @Test
  void answersACommandCompletedDuringTheShutdown() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(event), 0);
    };
    Socket client = connectClient();
    String commands = PING + queryCommand(1);
    int firstPartLength = commands.length() - 20;
    CompletableFuture<Void> stopFuture = stopNode();
    long answeredCommands = 0;
    while (true) {
      send(client, commands.substring(0, firstPartLength));
      String firstReply = readLineOrReset(client);
      if (firstReply.equals("closed")) break;
      assertEquals("+PONG", firstReply);
      send(client, commands.substring(firstPartLength));
      String secondReply = readLineOrReset(client);
      // the node now rejects requests and no longer waits for the rest of a command
      if (secondReply.equals("closed")) break;
      assertEquals("-BUSY", secondReply);
      answeredCommands++;
    }
    assertTrue(answeredCommands > 0);
    stopFuture.get(5, TimeUnit.SECONDS);
  }

  /**
   * A request that a client sends on a connection that the node has just closed stays unread. A
   * reset shows the client that the node did not process it.
   */
  @Test
  void leavesARequestAfterTheCloseUnread() throws Exception {
    try (SocketChannel client = SocketChannel
        .open(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()))) {
      ByteBuffer reply = ByteBuffer.allocate(64);
      client.write(ByteBuffer.wrap(PING.getBytes(StandardCharsets.ISO_8859_1)));
      assertEquals(7, client.read(reply));
      CompletableFuture<Void> stopFuture = stopNode();
      assertEquals(-1, client.read(reply));
      client.write(ByteBuffer.wrap(queryCommand(0).getBytes(StandardCharsets.ISO_8859_1)));
      stopFuture.get(5, TimeUnit.SECONDS);
      // without a reset the kernel would accept the byte
      assertThrows(IOException.class, () -> client.write(ByteBuffer.allocate(1)));
    }
  }

  /**
   * Guards against review case 3 in the whole node: 120 commands arrive before the shutdown, of
   * which the first is never answered by an app server. All get a reply before the node ends.
   */
  @Test
  void answersCommandsThatWaitWhileReadingIsStopped() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived && requestIdOf(event) > 0)
        actions.reject(requestIdOf(event), 0);
    };
    Socket client = connectClient();
    StringBuilder commands = new StringBuilder();
    for (int id = 0; id < 70; id++) commands.append(queryCommand(id));
    send(client, commands.toString());
    for (int i = 0; i < 64; i++) assertTrue(nextEventText().startsWith("arrived"));
    for (int id = 70; id < 120; id++) send(client, queryCommand(id));
    CompletableFuture<Void> stopFuture = stopNode();
    assertEquals("-ERR aborted", readLine(client));
    for (int i = 1; i < 120; i++) assertEquals("-BUSY", readLine(client));
    assertEquals("closed", readLine(client));
    stopFuture.get(5, TimeUnit.SECONDS);
  }
}
