package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.api.GatewayEvent;

/** How a node handles replies of its counter service, and missing replies, on real sockets. */
@Timeout(60)
class CounterCallsTest extends NodeHarness {
  /**
   * The node waits for a reply as long as the policy requests, also if that is longer than the
   * timeout in the settings (1 s).
   */
  @Test
  void waitsForAReplyAsLongAsThePolicyRequests() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived arrived)
        actions.addToCounter(255, 1, 40_000, arrived.requestId() == 0 ? 100_000 : 0);
    };
    Socket client = connectClient();
    send(client, queryCommand(0));
    Socket connection = accept(counter);
    assertEquals("bump ff 1 4000", readLine(connection));
    assertEquals("arrived 0 waits 900", nextEventText());
    Thread.sleep(1_300);
    send(connection, "ok 7\r\n");
    assertEquals("counted 255 SUCCEEDED 7.0", nextEventText());
    send(client, queryCommand(1));
    assertEquals("bump ff 1 4000", readLine(connection));
    assertEquals("arrived 1 waits 900", nextEventText());
    assertEquals("counted 255 TIMED_OUT 0.0", nextEventText());
  }

  /**
   * After a reply without a number the counter may or may not have added the units, so the outcome
   * is a lost connection. The node closes the connection then, and also after an incomplete line.
   */
  @Test
  void reportsTheOutcomeOfMalformedReplies() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived) actions.addToCounter(255, 1, 40_000, 0);
    };
    Socket client = connectClient();
    String[] replies = {"ok NaN\r\n", "noise\r\n", "ok 0x1p3\r\n", "ok", "busy\r\n", "error\r\n"};
    String[] outcomes = {"CONNECTION_LOST", "CONNECTION_LOST", "CONNECTION_LOST", "TIMED_OUT",
        "SERVER_BUSY", "NOT_SENT"};
    Socket connection = null;
    for (int i = 0; i < replies.length; i++) {
      send(client, queryCommand(i));
      if (i < 5) connection = accept(counter);
      readLine(connection);
      send(connection, replies[i]);
      assertEquals("arrived " + i + " waits 900 counted 255 " + outcomes[i] + " 0.0",
          nextEventText() + " " + nextEventText());
      if (i < 4) assertEquals("closed", readLine(connection));
    }
  }

  /**
   * A call that has timed out keeps its place in the order of replies. Otherwise its late reply
   * would be taken for the reply to the next call.
   */
  @Test
  void lateReplyIsNotTakenForTheNextCalls() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived) actions.addToCounter(255, 1.5, 40_000, 0);
      if (!(event instanceof GatewayEvent.CounterReplied reply)
          || reply.outcome() != GatewayEvent.AttemptOutcome.CONNECT_FAILED)
        return;
      for (int i = 0; i < 5; i++) actions.fail(i);
    };
    Socket client = connectClient();
    send(client, queryCommand(0));
    Socket connection = accept(counter);
    assertEquals("bump ff 1.5000 4000", readLine(connection));
    assertEquals("arrived 0 waits 900 counted 255 TIMED_OUT 0.0",
        nextEventText() + " " + nextEventText());
    send(client, queryCommand(1));
    assertEquals("bump ff 1.5000 4000", readLine(connection));
    send(connection, "ok 1.5\r\nok 3\r\n");
    assertEquals("arrived 1 waits 900 counted 255 SUCCEEDED 3.0",
        nextEventText() + " " + nextEventText());
    send(client, queryCommand(2));
    readLine(connection);
    send(connection, "busy\r\n");
    assertEquals("arrived 2 waits 900 counted 255 SERVER_BUSY 0.0",
        nextEventText() + " " + nextEventText());
    send(client, queryCommand(3));
    readLine(connection);
    connection.close();
    assertEquals("arrived 3 waits 900 counted 255 CONNECTION_LOST 0.0",
        nextEventText() + " " + nextEventText());
    counter.close();
    send(client, queryCommand(4));
    assertEquals("arrived 4 waits 900 counted 255 CONNECT_FAILED 0.0",
        nextEventText() + " " + nextEventText());
    List<String> metrics = infoLines(client);
    assertTrue(
        metrics
            .containsAll(List.of("reqs=5", "counted=5", "counts_answered=1", "counter_opened=1")),
        metrics.toString());
  }
}
