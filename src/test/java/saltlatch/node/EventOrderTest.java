package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.api.GatewayEvent;

/**
 * Guards against races between two events on real connections. Each test forces the harmful order:
 * until both events have happened, the scripted policy blocks the node's event loop, or the node
 * does not read because a client has the maximum number of unanswered requests.
 */
@Timeout(60)
class EventOrderTest extends NodeHarness {
  private static final String SUCCESS_REPLY = "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n";

  /** Blocks the event loop, so that all that arrives meanwhile is read in one iteration. */
  private static final class LoopBlocker {
    final CountDownLatch blocked = new CountDownLatch(1);
    final CountDownLatch released = new CountDownLatch(1);

    void block() {
      blocked.countDown();
      try {
        assertTrue(released.await(20, TimeUnit.SECONDS));
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /**
   * The policy may withdraw an attempt while its connection is being established. The node asks it
   * again before it writes the command.
   */
  @Test
  void asksThePolicyAgainBeforeWritingOnALateConnection() throws Exception {
    eventHandler = startAttemptsAndFailUnfinished(80_000);
    allowAttemptStart = false;
    Socket client = connectClient();
    send(client, queryCommand(0));
    Socket connection = accept(appServer);
    assertEquals("closed", readLine(connection));
    assertEquals("asked 0/0", attemptStartQueries.poll(20, TimeUnit.SECONDS));
    assertEquals("arrived 0 waits 900 ended 0/0 WITHDRAWN",
        nextEventText() + " " + nextEventText());
    assertEquals("-ERR aborted", readLine(client));
  }

  /**
   * An app server receives the time that is left when its command is written, not the time that was
   * left before its connection was established.
   */
  @Test
  void lateConnectionForwardsTheRemainingTime() throws Exception {
    LoopBlocker blocker = new LoopBlocker();
    long attemptCapMs = 800;
    long delayMs = 150;
    eventHandler = event -> {
      if (!(event instanceof GatewayEvent.RequestArrived)) return;
      actions.startAttempt(requestIdOf(event), 0, attemptCapMs * 10);
      blocker.block();
    };
    send(connectClient(), queryCommand(0));
    assertTrue(blocker.blocked.await(20, TimeUnit.SECONDS));
    Thread.sleep(delayMs); // the delay under test; it orders no events
    blocker.released.countDown();
    Matcher deadline = Pattern.compile("\\bd=(\\d+)")
        .matcher(readCommandUpToDeadline(accept(appServer)));
    assertTrue(deadline.find());
    long forwardedMs = Long.parseLong(deadline.group(1));
    assertTrue(forwardedMs <= attemptCapMs - delayMs && forwardedMs > 0,
        "forwarded " + forwardedMs + " ms");
  }

  /** Reads a command's lines up to the one with its deadline. */
  private static String readCommandUpToDeadline(Socket appServer) throws IOException {
    StringBuilder lines = new StringBuilder();
    while (!lines.toString().contains("d=")) lines.append(readLine(appServer)).append(' ');
    return lines.toString();
  }

  /**
   * The client disconnects while the connection to the app server is being established. Nothing is
   * written, even though the settings do not enable cancellation.
   */
  @Test
  void sendsNothingIfTheClientLeavesBeforeTheConnectionIsUp() throws Exception {
    LoopBlocker blocker = new LoopBlocker();
    eventHandler = event -> {
      if (!(event instanceof GatewayEvent.RequestArrived)) return;
      actions.startAttempt(requestIdOf(event), 0, 80_000);
      blocker.block();
    };
    Socket client = connectClient();
    send(client, queryCommand(0));
    assertTrue(blocker.blocked.await(20, TimeUnit.SECONDS));
    closeAndAwaitFin(client);
    blocker.released.countDown();
    assertEquals("closed", readLine(accept(appServer)));
    assertEquals("arrived 0 waits 900 left 0 ended 0/0 WITHDRAWN over",
        nextEventText() + " " + nextEventText() + " " + nextEventText());
  }

  /**
   * If a request and its client's close are read in the same iteration of the event loop, the
   * policy gets both in one batch, so that it does not start work for a client that has left.
   */
  @Test
  void deliversACloseInTheSameBatchAsTheRequestBeforeIt() throws Exception {
    LoopBlocker blocker = new LoopBlocker();
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived && requestIdOf(event) == 0) blocker.block();
      if (event instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(event), 0);
    };
    Socket blockingClient = connectClient();
    Socket closingClient = acceptedClient();
    send(blockingClient, queryCommand(0));
    assertTrue(blocker.blocked.await(20, TimeUnit.SECONDS));
    send(closingClient, queryCommand(1));
    closeAndAwaitFin(closingClient);
    blocker.released.countDown();
    assertEquals("-BUSY", readLine(blockingClient));
    List<String> batch = batches.poll(20, TimeUnit.SECONDS);
    while (batch != null && !batch.contains("arrived 1 waits 900"))
      batch = batches.poll(20, TimeUnit.SECONDS);
    assertEquals(List.of("arrived 1 waits 900", "left 1"), batch);
  }

  /** Connects a client and waits for a reply, so that the node has accepted the connection. */
  private Socket acceptedClient() throws IOException {
    Socket client = connectClient();
    send(client, "*1\r\n$4\r\nPING\r\n");
    assertEquals("+PONG", readLine(client));
    return client;
  }

  /**
   * A client closes while 64 of its requests are unanswered. The node has then stopped reading from
   * it, so that the close follows unread bytes; it must be noticed nevertheless.
   */
  @Test
  void noticesACloseAfterUnreadBytes() throws Exception {
    Socket client = acceptedClient();
    StringBuilder commands = new StringBuilder();
    for (int i = 0; i < 64; i++) commands.append(queryCommand(i));
    send(client, commands.toString());
    for (int i = 0; i < 64; i++) assertEquals("arrived " + i + " waits 900", nextEventText());
    send(client, queryCommand(64));
    client.close();
    assertEquals("left 0", nextEventText());
  }

  /** Like the test above, with a reset and with a half close. */
  @Test
  void noticesAResetOrHalfCloseAfterUnreadBytes() throws Exception {
    for (boolean reset : new boolean[] {true, false}) {
      Socket client = acceptedClient();
      StringBuilder commands = new StringBuilder();
      for (int i = 0; i < 64; i++) commands.append(queryCommand(i));
      send(client, commands.toString());
      long firstRequestId = -1;
      for (int i = 0; i < 64; i++) {
        String text = nextEventText();
        assertTrue(text.startsWith("arrived"), text);
        if (firstRequestId < 0) firstRequestId = Long.parseLong(text.split(" ", 0)[1]);
      }
      send(client, queryCommand(64));
      if (reset) client.setSoLinger(true, 0);
      if (reset) client.close();
      else client.shutdownOutput();
      assertEquals("left " + firstRequestId, nextEventText());
      for (int i = 1; i < 64; i++) nextEventText();
    }
  }

  /**
   * An app server sends part of a line, or a second reply, on an idle connection. The node closes
   * the connection; otherwise the bytes would be taken for the next attempt's reply.
   */
  @Test
  void closesAnIdleServerConnectionThatReceivesBytes() throws Exception {
    eventHandler = startAttemptsAndFailUnfinished(80_000);
    Socket client = connectClient();
    String[] strayBytes = {"*3\r\n$2\r\nxx", SUCCESS_REPLY};
    for (int i = 0; i < strayBytes.length; i++) {
      send(client, queryCommand(2 * i));
      Socket connection = accept(appServer);
      readLines(connection, 9);
      send(connection, SUCCESS_REPLY);
      assertEquals("$2 hi", readLines(client, 2));
      send(connection, strayBytes[i]);
      assertEquals("closed", readLine(connection));
      send(client, queryCommand(2 * i + 1));
      connection = accept(appServer);
      readLines(connection, 9);
      send(connection, SUCCESS_REPLY);
      assertEquals("$2 hi", readLines(client, 2));
      connection.close();
      while (!infoLines(client).contains("connections_opened=" + (2 * i + 2))) Thread.onSpinWait();
    }
  }

  /**
   * After a framing error the node reads nothing more, and resets the connection once the client's
   * system has the error. Guards against a reset that costs the client the error, and against
   * reading and dropping what follows it.
   */
  @Test
  void framingErrorReachesAClientThatSentMore() throws Exception {
    eventHandler = event -> actions.reject(requestIdOf(event), 0);
    LoopBlocker blocker = new LoopBlocker();
    Socket client = acceptedClient();
    Socket blockingClient = acceptedClient();
    eventHandler = event -> {
      if (requestIdOf(event) == 0) blocker.block();
      actions.reject(requestIdOf(event), 0);
    };
    send(blockingClient, queryCommand(0));
    assertTrue(blocker.blocked.await(20, TimeUnit.SECONDS));
    send(client, queryCommand(1) + "nonsense\r\n" + "x".repeat(60_000));
    blocker.released.countDown();
    Thread.sleep(RESET_WAIT_MS); // the reset comes before the client reads
    assertEquals("-ERR Protocol error: no RESP2 value", readErrorAfterRejection(client));
    assertThrows(IOException.class, () -> readLine(client));
  }

  /** Reads the rejection of the request before the error, and returns the error. */
  private static String readErrorAfterRejection(Socket client) throws IOException {
    assertEquals("-BUSY", readLine(client));
    return readLine(client);
  }
}
