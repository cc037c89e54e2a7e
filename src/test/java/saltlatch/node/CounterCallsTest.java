package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.api.GatewayEvent;

/** What a node does with the replies of its counter, and without them, on its sockets. */
@Timeout(60)
class CounterCallsTest extends NodeHarness {
  /**
   * A count call is waited for as long as the module says, where that is longer than the settings'
   * time of 1 s.
   */
  @Test
  void waitsForTheCounter() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived a)
        actions.addToCounter(255, 1, 40_000, a.requestId() == 0 ? 100_000 : 0);
    };
    Socket c = connectClient();
    send(c, queryCommand(0));
    Socket s = accept(counter);
    assertEquals("bump ff 1 4000", readLine(s));
    assertEquals("arrived 0 waits 900", nextEventText());
    Thread.sleep(1_300);
    send(s, "ok 7\r\n");
    assertEquals("counted 255 SUCCEEDED 7.0", nextEventText());
    send(c, queryCommand(1));
    assertEquals("bump ff 1 4000", readLine(s));
    assertEquals("arrived 1 waits 900", nextEventText());
    assertEquals("counted 255 TIMED_OUT 0.0", nextEventText());
  }

  /**
   * A counter's answer with no number in it may have been added; its connection ends, and so does
   * half a line's.
   */
  @Test
  void malformedCounterReplies() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.addToCounter(255, 1, 40_000, 0);
    };
    Socket c = connectClient();
    String[] answers = {"ok NaN\r\n", "noise\r\n", "ok 0x1p3\r\n", "ok", "busy\r\n", "error\r\n"};
    String[] told = {"CONNECTION_LOST", "CONNECTION_LOST", "CONNECTION_LOST", "TIMED_OUT",
        "SERVER_BUSY", "NOT_SENT"};
    Socket s = null;
    for (int i = 0; i < answers.length; i++) {
      send(c, queryCommand(i));
      if (i < 5) s = accept(counter);
      readLine(s);
      send(s, answers[i]);
      assertEquals("arrived " + i + " waits 900 counted 255 " + told[i] + " 0.0",
          nextEventText() + " " + nextEventText());
      if (i < 4) assertEquals("closed", readLine(s));
    }
  }

  /**
   * A call that has timed out keeps its place: its late answer is not taken for that of the call
   * behind it.
   */
  @Test
  void lateCounterReplies() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived) actions.addToCounter(255, 1.5, 40_000, 0);
      if (!(e instanceof GatewayEvent.CounterReplied n)
          || n.outcome() != GatewayEvent.AttemptOutcome.CONNECT_FAILED)
        return;
      for (int i = 0; i < 5; i++) actions.fail(i);
    };
    Socket c = connectClient();
    send(c, queryCommand(0));
    Socket s = accept(counter);
    assertEquals("bump ff 1.5000 4000", readLine(s));
    assertEquals("arrived 0 waits 900 counted 255 TIMED_OUT 0.0",
        nextEventText() + " " + nextEventText());
    send(c, queryCommand(1));
    assertEquals("bump ff 1.5000 4000", readLine(s));
    send(s, "ok 1.5\r\nok 3\r\n");
    assertEquals("arrived 1 waits 900 counted 255 SUCCEEDED 3.0",
        nextEventText() + " " + nextEventText());
    send(c, queryCommand(2));
    readLine(s);
    send(s, "busy\r\n");
    assertEquals("arrived 2 waits 900 counted 255 SERVER_BUSY 0.0",
        nextEventText() + " " + nextEventText());
    send(c, queryCommand(3));
    readLine(s);
    s.close();
    assertEquals("arrived 3 waits 900 counted 255 CONNECTION_LOST 0.0",
        nextEventText() + " " + nextEventText());
    counter.close();
    send(c, queryCommand(4));
    assertEquals("arrived 4 waits 900 counted 255 CONNECT_FAILED 0.0",
        nextEventText() + " " + nextEventText());
    List<String> figures = infoLines(c);
    assertTrue(
        figures
            .containsAll(List.of("reqs=5", "counted=5", "counts_answered=1", "counter_opened=1")),
        figures.toString());
  }
}
