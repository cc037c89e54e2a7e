package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.wire.transport.InputTurns;
import saltlatch.wire.transport.ManualScheduler;

/**
 * Tests the bytes of every reply that a client can receive, and which connections the listener
 * closes. Uses real connections and a manual clock, which counts ticks of 0.1 ms.
 */
class ClientListenerTest extends ClientListenerHarness {
  @Test
  void repliesToRequests() throws Exception {
    respondWith(client -> client.succeed("hi".getBytes(StandardCharsets.ISO_8859_1)));
    assertReply("$2\r\nhi\r\n", QUERY);
    respondWith(client -> client.succeed(new byte[0]));
    assertReply("$0\r\n\r\n", QUERY);
    respondWith(client -> client.reject(0));
    assertReply("-BUSY\r\n", QUERY);
    respondWith(client -> client.reject(250));
    assertReply("-BUSY 250\r\n", QUERY);
    respondWith(client -> client.fail());
    assertReply("-ERR aborted\r\n", QUERY);
  }

  /** The value of a successful response is binary, so all 256 byte values are sent unchanged. */
  @Test
  void writesAllByteValuesUnchanged() throws Exception {
    byte[] allBytes = new byte[256];
    for (int i = 0; i < allBytes.length; i++) allBytes[i] = (byte) i;
    respondWith(client -> client.succeed(allBytes));
    Socket socket = connect();
    send(socket, QUERY);
    assertEquals("$256\r\n", receive(socket, 6));
    assertArrayEquals(allBytes, socket.getInputStream().readNBytes(256));
    assertEquals("\r\n", receive(socket, 2));
  }

  @Test
  void repliesToOtherCommands() throws Exception {
    assertReply("+PONG\r\n", PING);
    assertReply("+PONG\r\n", "*1\r\n$4\r\nping\r\n");
    assertReply("$14\r\n" + INFO_TEXT + "\r\n", "*1\r\n$4\r\nINFO\r\n");
    assertReply("$14\r\n" + INFO_TEXT + "\r\n", "*2\r\n$4\r\ninfo\r\n$4\r\nload\r\n");
    assertReply("-ERR unknown command\r\n", "*1\r\n$6\r\nCLIENT\r\n");
    assertReply("-ERR unknown command\r\n", "*0\r\n");
    assertReply("-ERR unknown command\r\n", "*-1\r\n");
    assertReply("-ERR unknown command\r\n", "*1\r\n$-1\r\n");
    assertReply("-ERR unknown command\r\n", "*1\r\n:1\r\n");
  }

  @Test
  void repliesToMalformedCommands() throws Exception {
    String expected = "-ERR malformed command\r\n";
    assertReply(expected, "*1\r\n$9\r\nSVC.QUERY\r\n");
    assertReply(expected, QUERY.replace("SVC.QUERY", "SVC.OTHER"));
    assertReply(expected, QUERY.replace("0000000000000007", "000000000000000x"));
    assertReply(expected, QUERY.replace("d=900", "d=9.0"));
    assertReply(expected, QUERY.replace("t=plan", "q=plan"));
  }

  /**
   * If the received bytes are not a RESP2 array, or exceed a limit of the decoder, the listener
   * writes one error reply and closes the connection.
   */
  @Test
  void repliesToLostFraming() throws Exception {
    String error = "-ERR Protocol error: ";
    assertLastReply(error + "no RESP2 value\r\n", "GET / HTTP/1.1\r\n");
    assertLastReply(error + "no RESP2 value\r\n", "\r\n");
    assertLastReply(error + "a command is an array\r\n", "+PING\r\n");
    assertLastReply(error + "a command is an array\r\n", "$4\r\nPING\r\n");
    assertLastReply(error + "bulk string without its end\r\n", "*1\r\n$4\r\nPINGxx");
    assertLastReply(error + "no length: 17\r\n", "*17\r\n");
    assertLastReply(error + "no length: -2\r\n", "*-2\r\n");
    assertLastReply(error + "no length: +1\r\n", "*+1\r\n");
    assertLastReply(error + "no length: x\r\n", "*1\r\n$x\r\n");
    assertLastReply(error + "no length: 65537\r\n", "*1\r\n$65537\r\n");
    assertLastReply(error + "arrays too deep\r\n", "*1\r\n*1\r\n*1\r\n");
    assertLastReply(error + "line too long\r\n", "+" + "x".repeat(1_100));
    String value = "$40000\r\n" + "x".repeat(40_000) + "\r\n";
    Socket socket = connect();
    send(socket, "*3\r\n" + value + value);
    String tooLong = error + "message too long\r\n";
    assertEquals(tooLong, receive(socket, tooLong.length()));
    // the rest of the message is never read
    assertThrows(IOException.class, () -> receiveToEnd(socket));
  }

  /** Commands received before the invalid bytes are answered before the error reply. */
  @Test
  void repliesToCommandsBeforeLostFraming() throws Exception {
    respondWith(client -> client.reject(0));
    assertLastReply("+PONG\r\n-BUSY\r\n-ERR Protocol error: no RESP2 value\r\n",
        PING + QUERY + "nonsense\r\n" + PING);
  }

  /** A reply is written only after the replies to all earlier commands of the connection. */
  @Test
  void writesRepliesInTheOrderOfCommands() throws Exception {
    holdRequests();
    Socket socket = connect();
    send(socket, QUERY + QUERY + PING);
    awaitInFlight(2);
    scheduler.runOnLoop(() -> arrived.get(1).reject(7));
    scheduler.runOnLoop(() -> arrived.get(0).succeed(new byte[] {'a'}));
    assertEquals("$1\r\na\r\n-BUSY 7\r\n+PONG\r\n", receive(socket, 23));
  }

  /**
   * Guards against a client that sends part of a command and nothing more, which would keep its
   * connection open forever. After 2 s (20,000 ticks) the listener writes an error and closes the
   * connection.
   */
  @Test
  void incompleteCommandTimesOut() throws Exception {
    Socket socket = connect();
    send(socket, PING + "*4\r\n$9\r\nSVC.QU");
    assertEquals("+PONG\r\n", receive(socket, 7));
    scheduler.advance(20_000);
    assertEquals("-ERR command incomplete\r\n", receive(socket, 25));
    assertEnds(socket);
  }

  /**
   * Just before a node terminates, its listener aborts the requests in flight and rejects new ones.
   */
  @Test
  void abortsPendingAndRejectsNewRequests() throws Exception {
    Socket socket = connect();
    send(socket, QUERY + PING);
    awaitInFlight(1);
    scheduler.runOnLoop(() -> listener.failPendingAndRejectNew());
    assertEquals("-ERR aborted\r\n+PONG\r\n", receive(socket, 21));
    assertReply("-BUSY\r\n", QUERY);
  }

  /**
   * Guards against clients that send one request each and keep their connections open: once the
   * limit is reached, other clients could not connect. The listener closes the least recently used
   * connection to accept a new one.
   */
  @Test
  void newConnectionClosesTheLeastRecentlyUsed() throws Exception {
    Socket first = connectAndPing();
    Socket second = connectAndPing();
    Socket third = connectAndPing();
    Socket fourth = connectAndPing();
    scheduler.advance(20_000);
    ping(first);
    Socket fifth = connectAndPing();
    assertEnds(second);
    for (Socket socket : List.of(first, third, fourth, fifth)) ping(socket);
  }

  /**
   * Guards against connections that never send a command and fill the limit. To accept a new
   * connection, the listener closes the oldest of these rather than a recently used connection,
   * whose client is still using it.
   */
  @Test
  void newConnectionClosesASilentOneBeforeARecentlyUsedOne() throws Exception {
    Socket first = connectAndPing();
    Socket silent = connect();
    Socket third = connectAndPing();
    Socket fourth = connectAndPing();
    Socket fifth = connectAndPing();
    assertEnds(silent);
    for (Socket socket : List.of(first, third, fourth, fifth)) ping(socket);
  }

  /** A new connection is closed if the limit is reached and all others have pending replies. */
  @Test
  void newConnectionIsClosedIfAllHavePendingReplies() throws Exception {
    List<Socket> pending = new ArrayList<>();
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      pending.add(connect());
      send(pending.get(i), QUERY);
    }
    awaitInFlight(MAX_CONNECTIONS);
    assertEnds(connect());
    scheduler.runOnLoop(() -> listener.failPendingAndRejectNew());
    for (Socket socket : pending) assertEquals("-ERR aborted\r\n", receive(socket, 14));
  }

  /**
   * The protocol requires that the node closes a connection within 3 s if the client sends nothing.
   * The clock is advanced to one tick before the listener's limit of 2 s, then by another 0.5 s.
   */
  @Test
  void silentConnectionIsClosed() throws Exception {
    Socket silent = connect();
    connectAndPing();
    scheduler.advance(19_999);
    scheduler.advance(5_000);
    assertEnds(silent);
  }

  @Test
  void pingBeforeReadyGetsAnError() throws Exception {
    ClientListener unreadyListener = new ClientListener(vertx, scheduler, new ScriptedHandler(),
        metrics, MAX_CONNECTIONS, memory, new InputTurns(scheduler));
    List<Future<?>> listening = new ArrayList<>();
    scheduler.runOnLoop(() -> listening
        .add(unreadyListener.listen(SocketAddress.inetSocketAddress(0, "127.0.0.1"))));
    ManualScheduler.await(listening.get(0));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), unreadyListener.port())) {
      socket.setSoTimeout(20_000);
      send(socket, PING);
      assertEquals("-ERR not ready\r\n", receive(socket, 16));
    }
  }
}
