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
 * A planned end that crosses with what clients do just then. Nothing that was read goes unanswered,
 * or is sent on afterwards.
 */
@Timeout(60)
class ShutdownTest extends NodeHarness {
  private static final String PING = "*1\r\n$4\r\nPING\r\n";

  private CompletableFuture<Void> stopNode() {
    stopped = true;
    return node.stop().toCompletionStage().toCompletableFuture();
  }

  /**
   * Hundreds of connections wait to be accepted, each with a req, when the end begins: all are
   * served.
   */
  @Test
  void connectionsInTheBacklog() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    eventHandler = e -> {
      if (!(e instanceof GatewayEvent.RequestArrived)) return;
      held.countDown();
      try {
        assertTrue(go.await(20, TimeUnit.SECONDS));
      } catch (InterruptedException i) {
        throw new IllegalStateException(i);
      }
      actions.reject(requestIdOf(e), 0);
    };
    Socket first = connectClient();
    send(first, queryCommand(0));
    assertTrue(held.await(20, TimeUnit.SECONDS));
    List<Socket> crowd = new ArrayList<>();
    for (int i = 1; i <= 300; i++) {
      Socket c = connectClient();
      send(c, queryCommand(i));
      crowd.add(c);
    }
    CompletableFuture<Void> done = stopNode();
    go.countDown();
    for (Socket c : crowd) assertEquals("-BUSY", readLine(c));
    for (Socket c : crowd) assertEquals("closed", readLine(c));
    done.get(5, TimeUnit.SECONDS);
  }

  /**
   * Clients that go on asking until their connection ends: each answer but none of the unanswered
   * was read.
   */
  @Test
  void requestsUpToTheLastTurn() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(e), 0);
    };
    List<Socket> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) clients.add(answeredClient());
    eventTexts.clear();
    CompletableFuture<Void> done = stopNode();
    int answered = 0;
    for (int round = 0; !clients.isEmpty(); round++) {
      for (int i = 0; i < clients.size(); i++) send(clients.get(i), queryCommand(100 * round + i));
      for (Socket c : List.copyOf(clients)) {
        if (readLine(c).equals("-BUSY")) answered++;
        else clients.remove(c);
      }
    }
    done.get(5, TimeUnit.SECONDS);
    long arrived = eventTexts.stream().filter(text -> text.startsWith("arrived")).count();
    // the last ones the listener denies itself
    assertTrue(arrived <= answered, arrived + " read and " + answered + " answered");
  }

  /**
   * Answers that a client has not taken yet when the end comes still reach it, whole, before its
   * connection ends.
   */
  @Test
  void answersInTheWriteQueue() throws Exception {
    Socket c = connectClient();
    String info = "*1\r\n$4\r\nINFO\r\n";
    for (int i = 0; i < 2_000; i++) send(c, info);
    CompletableFuture<Void> done = stopNode();
    int got = 0;
    for (String line = readLine(c); !line.equals("closed"); line = readLine(c))
      if (line.startsWith("held=")) got++;
    assertEquals(2_000, got);
    done.get(5, TimeUnit.SECONDS);
  }

  /**
   * An app srv that hangs just then: the req is aborted in time, and its late answer is nobody's.
   */
  @Test
  void appServerHangs() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.startAttempt(requestIdOf(e), 0, 80_000);
    };
    Socket c = connectClient();
    send(c, queryCommand(0));
    Socket s = accept(appServer);
    readLines(s, 9);
    long since = System.nanoTime();
    CompletableFuture<Void> done = stopNode();
    assertEquals("-ERR aborted closed", readLines(c, 2));
    long took = (System.nanoTime() - since) / 1_000_000;
    // SIGKILL comes 1.7 s after SIGTERM at the soonest, 3.7 s where deadlines are long
    assertTrue(took < 3_400, took + " ms");
    send(s, "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n");
    done.get(5, TimeUnit.SECONDS);
  }

  /** The end is told before the node is ready: it never gets ready, and is over at once. */
  @Test
  void beforeItIsReady() throws Exception {
    EdgeNode early = new EdgeNode(NodeConfigurationReader.read(configurationJson()));
    CompletableFuture<Void> done = early.stop().toCompletionStage().toCompletableFuture();
    CompletableFuture<Void> open = early.start((now, site, out) -> (at, events) -> {})
        .toCompletionStage().toCompletableFuture();
    assertThrows(ExecutionException.class, () -> open.get(5, TimeUnit.SECONDS));
    done.get(5, TimeUnit.SECONDS);
  }

  /** Half a command waits for its rest while the node ends: whole, it is answered. */
  @Test
  void halfACommand() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(e), 0);
    };
    Socket c = connectClient();
    String two = PING + queryCommand(1);
    int half = two.length() - 20;
    CompletableFuture<Void> done = stopNode();
    long answers = 0;
    while (true) {
      send(c, two.substring(0, half));
      String pong = readLine(c);
      if (pong.equals("closed")) break;
      assertEquals("+PONG", pong);
      send(c, two.substring(half));
      String busy = readLine(c);
      if (busy.equals("closed")) break; // refusing: half a command is not waited for any more
      assertEquals("-BUSY", busy);
      answers++;
    }
    assertTrue(answers > 0);
    done.get(5, TimeUnit.SECONDS);
  }

  /**
   * What a client sends on a connection that this node has just ended stays unread: a reset tells
   * that it was not taken.
   */
  @Test
  void requestBehindTheEnd() throws Exception {
    try (SocketChannel c = SocketChannel
        .open(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.port()))) {
      ByteBuffer got = ByteBuffer.allocate(64);
      c.write(ByteBuffer.wrap(PING.getBytes(StandardCharsets.ISO_8859_1)));
      assertEquals(7, c.read(got));
      CompletableFuture<Void> done = stopNode();
      assertEquals(-1, c.read(got));
      c.write(ByteBuffer.wrap(queryCommand(0).getBytes(StandardCharsets.ISO_8859_1)));
      done.get(5, TimeUnit.SECONDS);
      // else the system takes it: no reset has come
      assertThrows(IOException.class, () -> c.write(ByteBuffer.allocate(1)));
    }
  }
}
