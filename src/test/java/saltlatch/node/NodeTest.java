package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GossipMessage;
import sun.misc.Signal;

/** A node's behavior on its sockets, one feature per test. */
@Timeout(60)
class NodeTest extends NodeHarness {
  /** Pipelined commands may be decided in any order; the replies keep the commands' order. */
  @Test
  void repliesKeepTheOrderOfCommands() throws Exception {
    eventHandler = event -> {
      if (!(event instanceof GatewayEvent.RequestArrived) || requestIdOf(event) != 2) return;
      actions.reject(2, 2_500);
      actions.fail(1);
      actions.reject(0, 0);
    };
    Socket client = connectClient();
    send(client, queryCommand(0) + queryCommand(1) + queryCommand(2) + "*1\r\n$4\r\nPING\r\n");
    assertEquals("-BUSY -ERR aborted -BUSY 250 +PONG", readLines(client, 4));
  }

  /** Input that can't be parsed fails only its command or closes only its connection. */
  @Test
  void malformedInputAffectsOnlyItsOwnConnection() throws Exception {
    eventHandler = event -> actions.reject(requestIdOf(event), 0);
    Socket goodClient = connectClient();
    Socket badClient = connectClient();
    send(badClient, "*1\r\n$4\r\nPING\r\n" + queryCommand(1).replace("d=900", "d=9x0")
        + "*1\r\n$7\r\nCOMMAND\r\n" + "GET / HTTP/1.1\r\n\r\n");
    assertEquals(
        "+PONG -ERR malformed command -ERR unknown command -ERR Protocol error: no RESP2 value closed",
        readLines(badClient, 5));
    send(goodClient, queryCommand(1).replace("c=read", "c=rexd") + queryCommand(1));
    assertEquals("-ERR aborted -BUSY", readLines(goodClient, 2));
  }

  /**
   * A request that the settings do not define, or that reuses the ID of another client's request in
   * flight, gets an error reply and never reaches the policy.
   */
  @Test
  void rejectsInvalidRequestsWithoutThePolicy() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived) actions.addToCounter(255, 1, 40_000, 0);
    };
    Socket client = connectClient();
    send(client, queryCommand(0));
    accept(counter);
    assertEquals("arrived 0 waits 900", nextEventText());
    Socket otherClient = connectClient();
    String[] invalid = {queryCommand(0), queryCommand(1).replace("units=1", "units=9"),
        queryCommand(1).replace("spread=1", "spread=2"),
        queryCommand(1).replace("$9\r\nSVC.QUERY", "$10\r\nSVC.SUBMIT"),
        queryCommand(1).replace("$39", "$44").replace(",n=", ",first=1")};
    for (String request : invalid) {
      send(otherClient, request);
      assertEquals("-ERR aborted", readLine(otherClient), request);
    }
    assertEquals(null, eventTexts.peek());
  }

  /**
   * The node closes a connection that has sent nothing, or only part of a command, within 3 s. It
   * keeps one on which it has already replied.
   */
  @Test
  void closesSilentConnectionsWithinThreeSeconds() throws Exception {
    Socket answeredClient = answeredClient();
    long startNanos = System.nanoTime();
    Socket silentClient = connectClient();
    Socket partialClient = connectClient();
    send(partialClient, queryCommand(1).substring(0, 30));
    assertEquals("closed -ERR command incomplete closed",
        readLine(silentClient) + " " + readLines(partialClient, 2));
    assertTrue(System.nanoTime() - startNanos < 3_000_000_000L);
    send(answeredClient, queryCommand(2));
    assertEquals("-BUSY", readLine(answeredClient));
  }

  /**
   * Silent connections up to the node's limit must not lock other clients out: the node closes the
   * oldest silent connection to accept a new one.
   */
  @Test
  void closesTheOldestSilentConnectionForANewClient() throws Exception {
    Socket answeredClient = answeredClient();
    Socket oldestSilent = connectClient();
    for (int i = 0; i < 520; i++) connectClient();
    Socket newest = connectClient();
    send(newest, queryCommand(1));
    assertEquals("-BUSY closed", readLine(newest) + " " + readLine(oldestSilent));
    send(answeredClient, queryCommand(2));
    assertEquals("-BUSY", readLine(answeredClient));
  }

  /**
   * The connection to an app server is reused, and the policy gets the matching outcome for each
   * way in which an attempt can end.
   */
  @Test
  void reportsEachAttemptOutcomeAndReusesTheConnection() throws Exception {
    eventHandler = startAttemptsAndFailUnfinished(80_000);
    Socket client = connectClient();
    String[] replies = {"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n", "-ERR failed\r\n", "-BUSY\r\n", null};
    String[] outcomes = {"SUCCEEDED over", "SERVER_ERROR", "SERVER_BUSY", "CONNECTION_LOST"};
    String[] clientReplies = {"$2 hi", "-ERR aborted", "-ERR aborted", "-ERR aborted"};
    Socket connection = null;
    for (int i = 0; i < replies.length; i++) {
      // lets the connection become idle after the last reply, so that it is reused
      Thread.sleep(10);
      long sentAtNanos = System.nanoTime();
      send(client, queryCommand(i));
      assertEquals("arrived " + i + " waits 900", nextEventText());
      if (connection == null) connection = accept(appServer);
      assertEquals(
          "*4 $9 SVC.QUERY $16 0000000000000007 $2 " + (10 + i)
              + " $40 c=read,t=plan,d=8000,units=1,spread=1,n=",
          withDeadline(8_000, readLines(connection, 9), sentAtNanos));
      if (replies[i] == null) connection.close();
      else send(connection, replies[i]);
      assertEquals("ended " + i + "/0 " + outcomes[i], nextEventText());
      assertEquals(clientReplies[i], readLines(client, clientReplies[i].startsWith("$") ? 2 : 1));
    }
    appServer.close();
    send(client, queryCommand(4));
    assertEquals("arrived 4 waits 900 ended 4/0 CONNECT_FAILED",
        nextEventText() + " " + nextEventText());
  }

  /**
   * A reply that can't be parsed fails the attempt, which the server may have run. The node closes
   * the connection and sends nothing more on it.
   */
  @Test
  void malformedReplyFailsTheAttemptAndClosesTheConnection() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived)
        actions.startAttempt(requestIdOf(event), 0, 80_000);
      if (event instanceof GatewayEvent.AttemptEnded ended) actions.fail(ended.requestId());
    };
    Socket client = connectClient();
    String[] replies = {"+OK\r\n", ":7\r\n", "*2\r\n$-1\r\n$-1\r\n", "-BUSYX\r\n",
        "*1\r\n$3000000000\r\nxx", "\0\1\r\n", "*1\r\n$9\r\nhalf of it"};
    for (int i = 0; i < replies.length; i++) {
      send(client, queryCommand(i));
      Socket connection = accept(appServer);
      readLines(connection, 9);
      send(connection, replies[i]);
      assertEquals("arrived " + i + " waits 900 ended " + i + "/0 CONNECTION_LOST closed",
          nextEventText() + " " + nextEventText() + " " + readLine(connection));
      assertEquals("-ERR aborted", readLine(client));
    }
  }

  /**
   * An attempt that times out or is cancelled closes its connection, and so do bytes after a reply.
   * Otherwise the next attempt on the connection could get a reply that is not its own.
   */
  @Test
  void timeoutsCancellationsAndStrayBytesCloseTheConnection() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived)
        actions.startAttempt(requestIdOf(event), 0, requestIdOf(event) == 0 ? 5_000 : 80_000);
      if (event instanceof GatewayEvent.AttemptEnded ended && ended.requestId() == 0)
        actions.fail(0);
      if (event instanceof GatewayEvent.ClientDisconnected disconnected)
        actions.cancelAttempt(disconnected.requestId(), 0);
    };
    Socket client = connectClient();
    long sentAtNanos = System.nanoTime();
    send(client, queryCommand(0));
    Socket connection = accept(appServer);
    assertEquals(
        "*4 $9 SVC.QUERY $16 0000000000000007 $2 10 $39 c=read,t=plan,d=500,units=1,spread=1,n= closed",
        withDeadline(500, readLines(connection, 10), sentAtNanos));
    assertEquals("arrived 0 waits 900 ended 0/0 TIMED_OUT",
        nextEventText() + " " + nextEventText());
    assertEquals("-ERR aborted", readLine(client));
    send(client, queryCommand(1));
    connection = accept(appServer);
    readLines(connection, 9);
    send(connection, "*1\r\n$2\r\nhi\r\n-ERR stray\r\n");
    assertEquals("$2 hi closed", readLines(client, 2) + " " + readLine(connection));
    send(client, queryCommand(2));
    connection = accept(appServer);
    readLines(connection, 9);
    assertEquals("arrived 1 waits 900 ended 1/0 SUCCEEDED over arrived 2 waits 900",
        nextEventText() + " " + nextEventText() + " " + nextEventText());
    client.close();
    assertEquals("left 2 ended 2/0 CANCELLED over closed",
        nextEventText() + " " + nextEventText() + " " + readLine(connection));
  }

  /**
   * When a watch ends, or after a line that can't be parsed, the node opens the next watch from the
   * last index that it applied.
   */
  @Test
  void reopensTheWatchFromTheLastIndex() throws Exception {
    Socket watch = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=1 HTTP/1.1", readLine(watch));
    String change = "{\"index\":7,\"snapshot\":false,\"endpoints\":[{\"name\":\"s-1\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
        + "\"type\":\"m\",\"group\":3,\"status\":\"Terminating\",\"weight\":1.0,\"since_ms\":0}]}\n";
    sendFirstChunk(watch, "\n{\"index\":\n" + change);
    watch = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=1 HTTP/1.1", readLine(watch));
    sendFirstChunk(watch, "\n" + change);
    assertEquals("listed DELTA [1 DRAINING]", nextEventText());
    watch.close();
    watch = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=7 HTTP/1.1", readLine(watch));
    String snapshot = change.replace("false", "true").replace("Terminating", "Ready")
        .replace("s-1", "s-2").replace("7", "8");
    sendFirstChunk(watch, snapshot);
    assertEquals("listed SNAPSHOT [2 READY]", nextEventText());
  }

  /**
   * SIGHUP changes the addresses of discovery and the counter. Replies from the old and the new
   * counter stay in the order of the calls. A file that can't be parsed changes nothing.
   */
  @Test
  void reloadChangesTheAddressesOfDiscoveryAndCounter(@TempDir Path dir) throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived) actions.addToCounter(255, 1, 40_000, 0);
    };
    Path path = dir.resolve("config.json");
    node.reloadOn(new ReloadSignal(), path);
    Socket oldWatch = accept(discovery);
    Socket client = connectClient();
    send(client, queryCommand(0));
    Socket oldConnection = accept(counter);
    assertEquals("bump ff 1 4000", readLine(oldConnection));
    ServerSocket oldCounter = counter;
    ServerSocket oldDiscovery = discovery;
    Files.writeString(path, "{");
    Signal.raise(new Signal("HUP"));
    Socket infoClient = connectClient();
    while (!infoLines(infoClient).contains("reloads_failed=1")) Thread.onSpinWait();
    counter = openServerSocket();
    discovery = openServerSocket();
    Files.writeString(path, configurationJson());
    Signal.raise(new Signal("HUP"));
    Socket watch = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=1 HTTP/1.1", readLine(watch));
    String oldLine = "";
    while (!oldLine.equals("closed")) oldLine = readLine(oldWatch);
    send(client, queryCommand(1));
    Socket newConnection = accept(counter);
    assertEquals("arrived 0 waits 900 arrived 1 waits 900",
        nextEventText() + " " + nextEventText());
    send(oldConnection, "ok 1\r\n");
    assertEquals("bump ff 1 4000 closed", readLine(newConnection) + " " + readLine(oldConnection));
    send(newConnection, "ok 2\r\n");
    assertEquals("counted 255 SUCCEEDED 1.0 counted 255 SUCCEEDED 2.0",
        nextEventText() + " " + nextEventText());
    oldCounter.close();
    oldDiscovery.close();
  }

  /** A SIGHUP before the node starts is not lost and does not end the process. */
  @Test
  void reloadSignalBeforeTheStartIsKept(@TempDir Path dir) throws Exception {
    Path path = Files.writeString(dir.resolve("config.json"), configurationJson());
    EdgeNode unstartedNode = new EdgeNode(NodeConfigurationReader.read(configurationJson()));
    ServerSocket oldDiscovery = discovery;
    discovery = openServerSocket();
    Files.writeString(path, configurationJson());
    ReloadSignal reloadSignal = new ReloadSignal();
    Signal.raise(new Signal("HUP"));
    while (!reloadSignal.isPending()) Thread.onSpinWait();
    unstartedNode.reloadOn(reloadSignal, path);
    // counted down once the file was read and its contents were handed over
    CountDownLatch configurationRead = new CountDownLatch(1);
    unstartedNode.loop().runOnContext(context -> unstartedNode.vertx().executeBlocking(() -> 0)
        .onSuccess(done -> configurationRead.countDown()));
    assertTrue(configurationRead.await(20, TimeUnit.SECONDS));
    unstartedNode.start((nowTicks, settings, policyActions) -> (eventTicks, events) -> {})
        .toCompletionStage().toCompletableFuture().get();
    assertEquals("GET /api/targets?follow=1&since=1 HTTP/1.1", readLine(accept(discovery)));
    oldDiscovery.close();
    unstartedNode.stop().toCompletionStage().toCompletableFuture().get();
  }

  /** A health check requests the load and reports the field that the settings name. */
  @Test
  void healthCheckReportsTheLoad() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived) actions.checkHealth(0);
    };
    send(connectClient(), queryCommand(0));
    Socket connection = accept(appServer);
    assertEquals("*2 $4 INFO $4 load", readLines(connection, 5));
    send(connection, "$23\r\nqueue=2,utilization=0.6\r\n");
    assertEquals("arrived 0 waits 900 probed SUCCEEDED [0.6]",
        nextEventText() + " " + nextEventText());
  }

  /**
   * The node sends datagrams from the address on which it listens, and identifies a peer by its
   * source address. A datagram that can't be decoded is ignored.
   */
  @Test
  void sendsAndReceivesDatagramsOnTheListenAddress() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived) actions.sendGossip(0,
          new GossipMessage(List.of(new GossipMessage.WindowUsage(7, 2, 1.5)), null));
    };
    send(connectClient(), queryCommand(0));
    DatagramPacket packet = new DatagramPacket(new byte[300], 300);
    peer.receive(packet);
    peer.send(new DatagramPacket("hello".getBytes(StandardCharsets.ISO_8859_1), 5,
        packet.getSocketAddress()));
    peer.send(packet);
    assertEquals("arrived 0 waits 900 heard 0 [WindowUsage[customer=7, windowNumber=2, units=1.5]]",
        nextEventText() + " " + nextEventText());
  }

  /**
   * An exception in the policy must not end the process: only the request that it was handling
   * fails.
   */
  @Test
  void policyExceptionFailsOnlyItsRequest() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived && requestIdOf(event) == 0)
        throw new IllegalStateException("injected failure");
      if (event instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(event), 0);
    };
    Socket client = connectClient();
    send(client, queryCommand(0));
    assertEquals("-ERR aborted", readLine(client));
    send(client, queryCommand(1));
    assertEquals("-BUSY", readLine(client));
    assertEquals("arrived 0 waits 900 left 0 arrived 1 waits 900",
        nextEventText() + " " + nextEventText() + " " + nextEventText());
  }

  /**
   * After SIGTERM the node serves connections as long as its schedule allows. Requests that are
   * still unanswered then are aborted.
   */
  @Test
  void servesUntilTheScheduleEndsThenAborts() throws Exception {
    Socket idleClient = connectClient();
    Socket waitingClient = connectClient();
    send(waitingClient, queryCommand(0));
    assertEquals("arrived 0 waits 900", nextEventText());
    var stopFuture = node.stop().toCompletionStage().toCompletableFuture();
    Socket lateClient = connectClient();
    send(lateClient, "*1\r\n$4\r\nPING\r\n");
    assertEquals("+PONG", readLine(lateClient));
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(event), 0);
    };
    long startNanos = System.nanoTime();
    while (System.nanoTime() - startNanos < 700_000_000L) {
      send(idleClient, queryCommand(1));
      assertEquals("-BUSY", readLine(idleClient));
    }
    assertEquals("-ERR aborted closed", readLines(waitingClient, 2));
    assertEquals("closed closed", readLine(lateClient) + " " + readLine(idleClient));
    stopFuture.get();
    stopped = true;
  }
}
