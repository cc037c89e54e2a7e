package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
 * Two events that cross, on real connections, in the bad order every time: the node's loop is held
 * by the scripted module, or a listener's backlog is full, until both have happened.
 */
@Timeout(60)
class EventOrderTest extends NodeHarness {
  private static final String PASSED = "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n";

  /** What the script holds the loop with, so that what comes meanwhile comes in one turn. */
  private static final class Hold {
    final CountDownLatch begun = new CountDownLatch(1);
    final CountDownLatch over = new CountDownLatch(1);

    void hold() {
      begun.countDown();
      try {
        assertTrue(over.await(20, TimeUnit.SECONDS));
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** The module is asked again before a dispatch whose connection came up later is written. */
  @Test
  void lateConnectionIsNotWrittenAgainstThePolicy() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.startAttempt(requestIdOf(e), 0, 80_000);
      if (e instanceof GatewayEvent.AttemptEnded d && !d.requestFinished())
        actions.fail(d.requestId());
    };
    allowAttemptStart = false;
    Socket c = connectClient();
    send(c, queryCommand(0));
    Socket s = accept(appServer);
    assertEquals("closed", readLine(s));
    assertEquals("asked 0/0", attemptStartQueries.poll(20, TimeUnit.SECONDS));
    assertEquals("arrived 0 waits 900 ended 0/0 WITHDRAWN",
        nextEventText() + " " + nextEventText());
    assertEquals("-ERR aborted", readLine(c));
  }

  /**
   * An app srv is told what is left of the wait when its command is written, not what was left
   * before its connection came up.
   */
  @Test
  void lateConnectionForwardsTheTimeThatIsLeft() throws Exception {
    Hold hold = new Hold();
    long capMs = 800;
    long lateMs = 150;
    eventHandler = e -> {
      if (!(e instanceof GatewayEvent.RequestArrived)) return;
      actions.startAttempt(requestIdOf(e), 0, capMs * 10);
      hold.hold();
    };
    send(connectClient(), queryCommand(0));
    assertTrue(hold.begun.await(20, TimeUnit.SECONDS));
    Thread.sleep(lateMs); // what is measured, not an order
    hold.over.countDown();
    Matcher told = Pattern.compile("\\bd=(\\d+)").matcher(request(accept(appServer)));
    assertTrue(told.find());
    long toldMs = Long.parseLong(told.group(1));
    assertTrue(toldMs <= capMs - lateMs && toldMs > 0, "told " + toldMs);
  }

  /** A command's lines up to that of its terms. */
  private static String request(Socket appServer) throws IOException {
    StringBuilder lines = new StringBuilder();
    while (!lines.toString().contains("d=")) lines.append(readLine(appServer)).append(' ');
    return lines.toString();
  }

  /**
   * The client leaves while the connection comes up, and the settings know no cancelling: nothing
   * is written.
   */
  @Test
  void clientLeavesBeforeTheConnectionIsUp() throws Exception {
    Hold hold = new Hold();
    eventHandler = e -> {
      if (!(e instanceof GatewayEvent.RequestArrived)) return;
      actions.startAttempt(requestIdOf(e), 0, 80_000);
      hold.hold();
    };
    Socket c = connectClient();
    send(c, queryCommand(0));
    assertTrue(hold.begun.await(20, TimeUnit.SECONDS));
    closeAndAwaitFin(c);
    hold.over.countDown();
    assertEquals("closed", readLine(accept(appServer)));
    assertEquals("arrived 0 waits 900 left 0 ended 0/0 WITHDRAWN over",
        nextEventText() + " " + nextEventText() + " " + nextEventText());
  }

  /**
   * A req that is read in the turn in which its client's close is seen comes to the module with the
   * close.
   */
  @Test
  void closeReadWithTheRequestInFront() throws Exception {
    Hold hold = new Hold();
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived && requestIdOf(e) == 0) hold.hold();
      if (e instanceof GatewayEvent.RequestArrived) actions.reject(requestIdOf(e), 0);
    };
    Socket first = connectClient();
    Socket second = usualConnection();
    send(first, queryCommand(0));
    assertTrue(hold.begun.await(20, TimeUnit.SECONDS));
    send(second, queryCommand(1));
    closeAndAwaitFin(second);
    hold.over.countDown();
    assertEquals("-BUSY", readLine(first));
    List<String> batch = batches.poll(20, TimeUnit.SECONDS);
    while (batch != null && !batch.contains("arrived 1 waits 900"))
      batch = batches.poll(20, TimeUnit.SECONDS);
    assertEquals(List.of("arrived 1 waits 900", "left 1"), batch);
  }

  /** A connection that the node has accepted: it has answered there. */
  private Socket usualConnection() throws IOException {
    Socket s = connectClient();
    send(s, "*1\r\n$4\r\nPING\r\n");
    assertEquals("+PONG", readLine(s));
    return s;
  }

  /**
   * A client with so much owed that reading has stopped goes away, its close behind unread bytes.
   */
  @Test
  void closeBehindUnreadBytes() throws Exception {
    Socket c = usualConnection();
    StringBuilder many = new StringBuilder();
    for (int i = 0; i < 64; i++) many.append(queryCommand(i));
    send(c, many.toString());
    for (int i = 0; i < 64; i++) assertEquals("arrived " + i + " waits 900", nextEventText());
    send(c, queryCommand(64));
    c.close();
    assertEquals("left 0", nextEventText());
  }

  /** The same with a reset, and with a half close. */
  @Test
  void resetBehindUnreadBytes() throws Exception {
    for (boolean reset : new boolean[] {true, false}) {
      Socket c = usualConnection();
      StringBuilder many = new StringBuilder();
      for (int i = 0; i < 64; i++) many.append(queryCommand(i));
      send(c, many.toString());
      long first = -1;
      for (int i = 0; i < 64; i++) {
        String text = nextEventText();
        assertTrue(text.startsWith("arrived"), text);
        if (first < 0) first = Long.parseLong(text.split(" ", 0)[1]);
      }
      send(c, queryCommand(64));
      if (reset) c.setSoLinger(true, 0);
      if (reset) c.close();
      else c.shutdownOutput();
      assertEquals("left " + first, nextEventText());
      for (int i = 1; i < 64; i++) nextEventText();
    }
  }

  /**
   * Half a line, or a second answer, on a connection that rests ends it: it is not the next
   * dispatch's answer.
   */
  @Test
  void bytesOnAnIdleConnection() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.startAttempt(requestIdOf(e), 0, 80_000);
      if (e instanceof GatewayEvent.AttemptEnded d && !d.requestFinished())
        actions.fail(d.requestId());
    };
    Socket c = connectClient();
    String[] strays = {"*3\r\n$2\r\nxx", PASSED};
    for (int i = 0; i < strays.length; i++) {
      send(c, queryCommand(2 * i));
      Socket s = accept(appServer);
      readLines(s, 9);
      send(s, PASSED);
      assertEquals("$2 hi", readLines(c, 2));
      send(s, strays[i]);
      assertEquals("closed", readLine(s));
      send(c, queryCommand(2 * i + 1));
      s = accept(appServer);
      readLines(s, 9);
      send(s, PASSED);
      assertEquals("$2 hi", readLines(c, 2));
      s.close();
      while (!infoLines(c).contains("connections_opened=" + (2 * i + 2))) Thread.onSpinWait();
    }
  }

  /**
   * What comes behind broken framing is thrown away, and the error arrives: no reset takes it
   * along.
   */
  @Test
  void errorArrivesThoughMoreWasSent() throws Exception {
    eventHandler = e -> actions.reject(requestIdOf(e), 0);
    Hold hold = new Hold();
    Socket c = usualConnection();
    Socket other = usualConnection();
    eventHandler = e -> {
      if (requestIdOf(e) == 0) hold.hold();
      actions.reject(requestIdOf(e), 0);
    };
    send(other, queryCommand(0));
    assertTrue(hold.begun.await(20, TimeUnit.SECONDS));
    send(c, queryCommand(1) + "nonsense\r\n" + "x".repeat(60_000));
    hold.over.countDown();
    assertEquals("-ERR Protocol error: no RESP2 value -BUSY".split(" -BUSY", 0)[0], errorAfter(c));
    // to a connection that was reset this fails, and what had come is gone
    send(c, "y".repeat(20_000));
    assertEquals("closed", readLine(c));
  }

  /** Its first line is the denial of the req in front, its second the error. */
  private static String errorAfter(Socket c) throws IOException {
    assertEquals("-BUSY", readLine(c));
    return readLine(c);
  }
}
