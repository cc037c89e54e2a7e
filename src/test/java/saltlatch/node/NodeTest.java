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

/** What a node does on its sockets, one thing at a time. */
@Timeout(60)
class NodeTest extends NodeHarness {
  /** Commands behind one another are decided at once and answered in their order. */
  @Test
  void answersInOrder() throws Exception {
    eventHandler = e -> {
      if (!(e instanceof GatewayEvent.RequestArrived) || requestIdOf(e) != 2) return;
      actions.reject(2, 2_500);
      actions.fail(1);
      actions.reject(0, 0);
    };
    Socket c = connectClient();
    send(c, queryCommand(0) + queryCommand(1) + queryCommand(2) + "*1\r\n$4\r\nPING\r\n");
    assertEquals("-BUSY -ERR aborted -BUSY 250 +PONG", readLines(c, 4));
  }

  /** What can't be read ends its own connection at most. */
  @Test
  void badInput() throws Exception {
    eventHandler = e -> actions.reject(requestIdOf(e), 0);
    Socket good = connectClient();
    Socket bad = connectClient();
    send(bad, "*1\r\n$4\r\nPING\r\n" + queryCommand(1).replace("d=900", "d=9x0")
        + "*1\r\n$7\r\nCOMMAND\r\n" + "GET / HTTP/1.1\r\n\r\n");
    assertEquals(
        "+PONG -ERR malformed command -ERR unknown command -ERR Protocol error: no RESP2 value closed",
        readLines(bad, 5));
    send(good, queryCommand(1).replace("c=read", "c=rexd") + queryCommand(1));
    assertEquals("-ERR aborted -BUSY", readLines(good, 2));
  }

  /**
   * What the settings don't know, or a stranger with the id of a req that is out, gets an error and
   * nothing else.
   */
  @Test
  void invalidRequests() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.addToCounter(255, 1, 40_000, 0);
    };
    Socket c = connectClient();
    send(c, queryCommand(0));
    accept(counter);
    assertEquals("arrived 0 waits 900", nextEventText());
    Socket bad = connectClient();
    String[] wrong = {queryCommand(0), queryCommand(1).replace("units=1", "units=9"),
        queryCommand(1).replace("spread=1", "spread=2"),
        queryCommand(1).replace("$9\r\nSVC.QUERY", "$10\r\nSVC.SUBMIT"),
        queryCommand(1).replace("$39", "$44").replace(",n=", ",first=1")};
    for (String one : wrong) {
      send(bad, one);
      assertEquals("-ERR aborted", readLine(bad), one);
    }
    assertEquals(null, eventTexts.peek());
  }

  /**
   * A connection that says nothing, or half a command, ends within 3 s; one that has spoken stays.
   */
  @Test
  void silentClients() throws Exception {
    Socket usual = answeredClient();
    long before = System.nanoTime();
    Socket silent = connectClient();
    Socket half = connectClient();
    send(half, queryCommand(1).substring(0, 30));
    assertEquals("closed -ERR command incomplete closed",
        readLine(silent) + " " + readLines(half, 2));
    assertTrue(System.nanoTime() - before < 3_000_000_000L);
    send(usual, queryCommand(2));
    assertEquals("-BUSY", readLine(usual));
  }

  /**
   * Clients are not crowded out by as many silent connections as the node may have; the oldest of
   * those make room.
   */
  @Test
  void manySilentConnections() throws Exception {
    Socket usual = answeredClient();
    Socket oldest = connectClient();
    for (int i = 0; i < 520; i++) connectClient();
    Socket newest = connectClient();
    send(newest, queryCommand(1));
    assertEquals("-BUSY closed", readLine(newest) + " " + readLine(oldest));
    send(usual, queryCommand(2));
    assertEquals("-BUSY", readLine(usual));
  }

  /**
   * An app srv's connection is used again, and each way it can end tells the module what it must.
   */
  @Test
  void attemptsAndTheirEnds() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.startAttempt(requestIdOf(e), 0, 80_000);
      if (e instanceof GatewayEvent.AttemptEnded d && !d.requestFinished())
        actions.fail(d.requestId());
    };
    Socket c = connectClient();
    String[] answers = {"*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n", "-ERR failed\r\n", "-BUSY\r\n", null};
    String[] told = {"SUCCEEDED over", "SERVER_ERROR", "SERVER_BUSY", "CONNECTION_LOST"};
    String[] got = {"$2 hi", "-ERR aborted", "-ERR aborted", "-ERR aborted"};
    Socket s = null;
    for (int i = 0; i < answers.length; i++) {
      Thread.sleep(10); // at least: the connection has settled after its last answer
      long saidAt = System.nanoTime();
      send(c, queryCommand(i));
      assertEquals("arrived " + i + " waits 900", nextEventText());
      if (s == null) s = accept(appServer);
      assertEquals(
          "*4 $9 SVC.QUERY $16 0000000000000007 $2 " + (10 + i)
              + " $40 c=read,t=plan,d=8000,units=1,spread=1,n=",
          withDeadline(8_000, readLines(s, 9), saidAt));
      if (answers[i] == null) s.close();
      else send(s, answers[i]);
      assertEquals("ended " + i + "/0 " + told[i], nextEventText());
      assertEquals(got[i], readLines(c, got[i].startsWith("$") ? 2 : 1));
    }
    appServer.close();
    send(c, queryCommand(4));
    assertEquals("arrived 4 waits 900 ended 4/0 CONNECT_FAILED",
        nextEventText() + " " + nextEventText());
  }

  /**
   * An answer that can't be read is a failed dispatch that may have run, and nothing more goes out
   * on its connection.
   */
  @Test
  void malformedReplies() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.startAttempt(requestIdOf(e), 0, 80_000);
      if (e instanceof GatewayEvent.AttemptEnded d) actions.fail(d.requestId());
    };
    Socket c = connectClient();
    String[] answers = {"+OK\r\n", ":7\r\n", "*2\r\n$-1\r\n$-1\r\n", "-BUSYX\r\n",
        "*1\r\n$3000000000\r\nxx", "\0\1\r\n", "*1\r\n$9\r\nhalf of it"};
    for (int i = 0; i < answers.length; i++) {
      send(c, queryCommand(i));
      Socket s = accept(appServer);
      readLines(s, 9);
      send(s, answers[i]);
      assertEquals("arrived " + i + " waits 900 ended " + i + "/0 CONNECTION_LOST closed",
          nextEventText() + " " + nextEventText() + " " + readLine(s));
      assertEquals("-ERR aborted", readLine(c));
    }
  }

  /**
   * A dispatch given up ends its connection; an answer that comes with too much is not kept for the
   * next one.
   */
  @Test
  void timedOutAttemptsAndStrayBytes() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived)
        actions.startAttempt(requestIdOf(e), 0, requestIdOf(e) == 0 ? 5_000 : 80_000);
      if (e instanceof GatewayEvent.AttemptEnded d && d.requestId() == 0) actions.fail(0);
      if (e instanceof GatewayEvent.ClientDisconnected l) actions.cancelAttempt(l.requestId(), 0);
    };
    Socket c = connectClient();
    long saidAt = System.nanoTime();
    send(c, queryCommand(0));
    Socket s = accept(appServer);
    assertEquals(
        "*4 $9 SVC.QUERY $16 0000000000000007 $2 10 $39 c=read,t=plan,d=500,units=1,spread=1,n= closed",
        withDeadline(500, readLines(s, 10), saidAt));
    assertEquals("arrived 0 waits 900 ended 0/0 TIMED_OUT",
        nextEventText() + " " + nextEventText());
    assertEquals("-ERR aborted", readLine(c));
    send(c, queryCommand(1));
    s = accept(appServer);
    readLines(s, 9);
    send(s, "*1\r\n$2\r\nhi\r\n-ERR stray\r\n");
    assertEquals("$2 hi closed", readLines(c, 2) + " " + readLine(s));
    send(c, queryCommand(2));
    s = accept(appServer);
    readLines(s, 9);
    assertEquals("arrived 1 waits 900 ended 1/0 SUCCEEDED over arrived 2 waits 900",
        nextEventText() + " " + nextEventText() + " " + nextEventText());
    c.close();
    assertEquals("left 2 ended 2/0 CANCELLED over closed",
        nextEventText() + " " + nextEventText() + " " + readLine(s));
  }

  /**
   * A watch that ends is taken up again from the version last told, as after a line that makes no
   * sense.
   */
  @Test
  void discoveryComesAndGoes() throws Exception {
    Socket s = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=1 HTTP/1.1", readLine(s));
    String line = "{\"index\":7,\"snapshot\":false,\"endpoints\":[{\"name\":\"s-1\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
        + "\"type\":\"m\",\"group\":3,\"status\":\"Terminating\",\"weight\":1.0,\"since_ms\":0}]}\n";
    sendFirstChunk(s, "\n{\"index\":\n" + line);
    s = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=1 HTTP/1.1", readLine(s));
    sendFirstChunk(s, "\n" + line);
    assertEquals("listed DELTA [1 DRAINING]", nextEventText());
    s.close();
    s = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=7 HTTP/1.1", readLine(s));
    String body = line.replace("false", "true").replace("Terminating", "Ready")
        .replace("s-1", "s-2").replace("7", "8");
    sendFirstChunk(s, body);
    assertEquals("listed SNAPSHOT [2 READY]", nextEventText());
  }

  /**
   * SIGHUP moves discovery and the counter, and no answer of a name overtakes another; a bad file
   * changes nothing.
   */
  @Test
  void reloadMovesDiscoveryAndCounter(@TempDir Path dir) throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.addToCounter(255, 1, 40_000, 0);
    };
    Path path = dir.resolve("config.json");
    node.reloadOn(new ReloadSignal(), path);
    Socket oldWatch = accept(discovery);
    Socket c = connectClient();
    send(c, queryCommand(0));
    Socket old = accept(counter);
    assertEquals("bump ff 1 4000", readLine(old));
    ServerSocket wasCounter = counter;
    ServerSocket wasDiscovery = discovery;
    Files.writeString(path, "{");
    Signal.raise(new Signal("HUP"));
    Socket asking = connectClient();
    while (!infoLines(asking).contains("reloads_failed=1")) Thread.onSpinWait();
    counter = openServerSocket();
    discovery = openServerSocket();
    Files.writeString(path, configurationJson());
    Signal.raise(new Signal("HUP"));
    Socket watch = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=1 HTTP/1.1", readLine(watch));
    String oldLine = "";
    while (!oldLine.equals("closed")) oldLine = readLine(oldWatch);
    send(c, queryCommand(1));
    Socket fresh = accept(counter);
    assertEquals("arrived 0 waits 900 arrived 1 waits 900",
        nextEventText() + " " + nextEventText());
    send(old, "ok 1\r\n");
    assertEquals("bump ff 1 4000 closed", readLine(fresh) + " " + readLine(old));
    send(fresh, "ok 2\r\n");
    assertEquals("counted 255 SUCCEEDED 1.0 counted 255 SUCCEEDED 2.0",
        nextEventText() + " " + nextEventText());
    wasCounter.close();
    wasDiscovery.close();
  }

  /** One that comes before there is a node is not lost, and ends nothing. */
  @Test
  void reloadSignalBeforeTheStart(@TempDir Path dir) throws Exception {
    Path path = Files.writeString(dir.resolve("config.json"), configurationJson());
    EdgeNode early = new EdgeNode(NodeConfigurationReader.read(configurationJson()));
    ServerSocket was = discovery;
    discovery = openServerSocket();
    Files.writeString(path, configurationJson());
    ReloadSignal hangups = new ReloadSignal();
    Signal.raise(new Signal("HUP"));
    while (!hangups.isPending()) Thread.onSpinWait();
    early.reloadOn(hangups, path);
    CountDownLatch read = new CountDownLatch(1); // the file, and what it says was handed over
    early.loop()
        .runOnContext(v -> early.vertx().executeBlocking(() -> 0).onSuccess(x -> read.countDown()));
    assertTrue(read.await(20, TimeUnit.SECONDS));
    early.start((now, site, out) -> (at, events) -> {}).toCompletionStage().toCompletableFuture()
        .get();
    assertEquals("GET /api/targets?follow=1&since=1 HTTP/1.1", readLine(accept(discovery)));
    was.close();
    early.stop().toCompletionStage().toCompletableFuture().get();
  }

  /** A probe asks for the load, and tells it under the settings' names. */
  @Test
  void healthChecks() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.checkHealth(0);
    };
    send(connectClient(), queryCommand(0));
    Socket s = accept(appServer);
    assertEquals("*2 $4 INFO $4 load", readLines(s, 5));
    send(s, "$23\r\nqueue=2,utilization=0.6\r\n");
    assertEquals("arrived 0 waits 900 probed SUCCEEDED [0.6]",
        nextEventText() + " " + nextEventText());
  }

  /**
   * A datagram goes out from the address at which the node listens, and a peer is known by the one
   * it sends from.
   */
  @Test
  void datagrams() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.sendGossip(0,
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
   * Guards against a fault in the module that ends the process: it costs the req that it came with.
   */
  @Test
  void policyFails() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived && requestIdOf(e) == 0)
        throw new IllegalStateException("made up for this test");
      if (e instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(e), 0);
    };
    Socket c = connectClient();
    send(c, queryCommand(0));
    assertEquals("-ERR aborted", readLine(c));
    send(c, queryCommand(1));
    assertEquals("-BUSY", readLine(c));
    assertEquals("arrived 0 waits 900 left 0 arrived 1 waits 900",
        nextEventText() + " " + nextEventText() + " " + nextEventText());
  }

  /** After SIGTERM connections are served while time allows; what is owed at the end is aborted. */
  @Test
  void stops() throws Exception {
    Socket idle = connectClient();
    Socket busy = connectClient();
    send(busy, queryCommand(0));
    assertEquals("arrived 0 waits 900", nextEventText());
    var done = node.stop().toCompletionStage().toCompletableFuture();
    Socket late = connectClient();
    send(late, "*1\r\n$4\r\nPING\r\n");
    assertEquals("+PONG", readLine(late));
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(e), 0);
    };
    long before = System.nanoTime();
    while (System.nanoTime() - before < 700_000_000L) {
      send(idle, queryCommand(1));
      assertEquals("-BUSY", readLine(idle));
    }
    assertEquals("-ERR aborted closed", readLines(busy, 2));
    assertEquals("closed closed", readLine(late) + " " + readLine(idle));
    done.get();
    stopped = true;
  }
}
