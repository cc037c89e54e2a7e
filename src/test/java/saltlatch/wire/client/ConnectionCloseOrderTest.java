package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests that cross the close of their connection, for each reason of a close: what arrived
 * before it gets its whole answer, and what comes later a reset.
 */
class ConnectionCloseOrderTest extends ClientListenerHarness {
  private static final int RESET_WAIT_MS = 50;
  private static final long STALE_TICKS = 30_000;
  private static final String INCOMPLETE = "-ERR command incomplete\r\n";

  @BeforeEach
  void rejectRequests() {
    respondWith(client -> client.reject(0));
  }

  /** Sends on the loop's thread, so that the loop has not read the bytes when a close begins. */
  private static void sendOnLoop(Socket socket, String text) {
    try {
      send(socket, text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Asserts that the node's system resets the connection as soon as something more is sent. */
  private void assertResetByNextRequest(Socket socket) throws Exception {
    assertEnds(socket);
    send(socket, QUERY);
    Thread.sleep(RESET_WAIT_MS);
    assertThrows(IOException.class, () -> send(socket, QUERY));
  }

  private void closeIdle() {
    listener.closeConnectionsAfterReply();
    listener.failPendingAndRejectNew();
    listener.closeIdleConnections();
  }

  /** Guards against issue 67: a request that had arrived was left unread behind a clean end. */
  @Test
  void answersWhatArrivedBeforeTheCloseAtShutdown() throws Exception {
    Socket socket = connectAndPing();
    scheduler.runOnLoop(() -> {
      sendOnLoop(socket, QUERY + PING);
      closeIdle();
    });
    assertEquals(REJECTED + "+PONG\r\n", receive(socket, REJECTED.length() + 7));
    assertEnds(socket);
  }

  /** Guards against issue 67: the reset came 200 ms later, or never. */
  @Test
  void resetsWhatComesAfterTheCloseAtShutdown() throws Exception {
    Socket socket = connectAndPing();
    scheduler.runOnLoop(this::closeIdle);
    assertResetByNextRequest(socket);
  }

  @Test
  void resetsWhatComesAfterAReplyAtShutdown() throws Exception {
    Socket socket = connectAndPing();
    scheduler.runOnLoop(() -> listener.closeConnectionsAfterReply());
    ping(socket);
    assertResetByNextRequest(socket);
  }

  /** Part of a command is read at the end: its rest is never read, and a reset tells so. */
  @Test
  void resetsPartOfACommandAtShutdown() throws Exception {
    Socket socket = connectAndPing();
    send(socket, PING + QUERY.substring(0, QUERY.length() / 2));
    assertEquals("+PONG\r\n", receive(socket, 7));
    Thread.sleep(RESET_WAIT_MS); // the reply is confirmed
    scheduler.runOnLoop(this::closeIdle);
    assertThrows(IOException.class, () -> {
      send(socket, QUERY.substring(QUERY.length() / 2));
      receive(socket, 1);
    });
  }

  /** Guards against closing an unused connection whose first request has arrived. */
  @Test
  void answersWhatArrivedBeforeTheCloseOfAnUnusedConnection() throws Exception {
    Socket socket = connect();
    connectAndPing();
    scheduler.runOnLoop(() -> {
      sendOnLoop(socket, QUERY);
      scheduler.advanceOnLoop(STALE_TICKS);
    });
    assertEquals(REJECTED, receive(socket, REJECTED.length()));
  }

  @Test
  void resetsWhatComesAfterTheCloseOfAnUnusedConnection() throws Exception {
    Socket socket = connect();
    connectAndPing();
    scheduler.advance(STALE_TICKS);
    assertResetByNextRequest(socket);
  }

  /** Guards against ending a command as incomplete whose rest has arrived. */
  @Test
  void answersACommandWhoseRestArrivedBeforeItCountsAsIncomplete() throws Exception {
    Socket socket = connect();
    send(socket, PING + QUERY.substring(0, QUERY.length() / 2));
    assertEquals("+PONG\r\n", receive(socket, 7));
    scheduler.runOnLoop(() -> {
      sendOnLoop(socket, QUERY.substring(QUERY.length() / 2));
      scheduler.advanceOnLoop(STALE_TICKS);
    });
    assertEquals(REJECTED, receive(socket, REJECTED.length()));
  }

  /** Guards against closing, 2 s after lost framing, in front of an answer that takes longer. */
  @Test
  void answersASlowRequestInFrontOfLostFraming() throws Exception {
    holdRequests();
    Socket socket = connect();
    send(socket, QUERY + "no command\r\n");
    awaitInFlight(1);
    for (int i = 0; i < 4; i++) scheduler.advance(STALE_TICKS);
    scheduler.runOnLoop(() -> arrived.get(0).reject(0));
    assertEquals(REJECTED + "-ERR Protocol error: no RESP2 value\r\n", receiveToEnd(socket));
  }

  /** Guards against reading and dropping a request behind the error for an incomplete command. */
  @Test
  void resetsWhatComesAfterAnIncompleteCommand() throws Exception {
    Socket socket = connect();
    send(socket, PING + QUERY.substring(0, QUERY.length() / 2));
    assertEquals("+PONG\r\n", receive(socket, 7));
    scheduler.advance(STALE_TICKS);
    assertEquals(INCOMPLETE, receive(socket, INCOMPLETE.length()));
    assertResetByNextRequest(socket);
  }

  /** Guards against reading and dropping what follows the error for lost framing. */
  @Test
  void resetsWhatComesAfterLostFraming() throws Exception {
    Socket socket = connect();
    send(socket, "no command\r\n");
    String error = "-ERR Protocol error: no RESP2 value\r\n";
    assertEquals(error, receive(socket, error.length()));
    assertResetByNextRequest(socket);
  }

  /** Guards against replacing a connection on which a request has arrived. */
  @Test
  void answersWhatArrivedOnTheConnectionThatWouldBeReplaced() throws Exception {
    Socket[] sockets = new Socket[MAX_CONNECTIONS];
    for (int i = 0; i < MAX_CONNECTIONS; i++) sockets[i] = connectAndPing();
    scheduler.runOnLoop(() -> {
      sendOnLoop(sockets[0], QUERY);
      try {
        connect();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      scheduler.advanceOnLoop(STALE_TICKS);
    });
    assertEquals(REJECTED, receive(sockets[0], REJECTED.length()));
    assertResetByNextRequest(sockets[1]);
  }

  /**
   * Guards against replacing a connection as silent whose first command was read and waits for its
   * turn: its client saw a clean end.
   */
  @Test
  void doesNotReplaceAConnectionWhoseFirstCommandWaitsForItsTurn() throws Exception {
    respondWith(client -> {
      scheduler.spend(20);
      client.reject(0);
    });
    Socket flooding = connectAndPing();
    Socket waiting = connect();
    Socket third = connectAndPing();
    connectAndPing();
    scheduler.runOnLoop(() -> {
      sendOnLoop(flooding, QUERY.repeat(4));
      sendOnLoop(waiting, QUERY);
    });
    Socket added = connect();
    send(added, PING);
    assertResetByNextRequest(third);
    for (int i = 0; i < 10; i++) scheduler.advance(20);
    assertEquals(REJECTED, receive(waiting, REJECTED.length()));
    assertEquals("+PONG\r\n", receive(added, 7));
  }

  /** Guards against a reset that overtakes replies which a slow client has not received. */
  @Test
  void deliversRepliesBeforeTheReset() throws Exception {
    Socket slow = connectWithSmallReceiveBuffer();
    respondWith(client -> client.succeed(LONG_VALUE));
    send(slow, QUERY.repeat(4));
    String begin = receive(slow, 1);
    scheduler.runOnLoop(() -> listener.closeConnectionsAfterReply());
    send(slow, QUERY);
    String rest = receive(slow, 5 * LONG_REPLY_BYTES - 1);
    assertEquals(5 * LONG_REPLY_BYTES, (begin + rest).length());
    assertEnds(slow);
  }
}
