package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;

/**
 * Servers, attempts and the node itself, through the whole engine. Each test prints a short trace
 * of decisions; the kept ones are in src/test/resources/traces, to be read. Times are in ticks.
 */
class PolicyEngineTest {
  private static final int IDEMPOTENT = 0;
  private static final int IDEMPOTENT_BY_KEY = 1;
  private static final int NOT_IDEMPOTENT = 2;

  private final DecisionTrace trace = new DecisionTrace(
      DecisionTrace.settings(DecisionTrace.QUOTA, false, false));

  /**
   * Many nodes with few requests each: if all began with the same server, it would get all of them.
   */
  @Test
  void nodesStartRotationsApart() {
    DecisionTrace other = new DecisionTrace(
        DecisionTrace.settings(9, 2, DecisionTrace.QUOTA, false, false));
    for (DecisionTrace node : List.of(trace, other)) {
      node.list("11/1", "12/1", "13/1", "14/1", "15/1");
      node.arrive(1, IDEMPOTENT, 1);
      node.counterReplies(1);
    }
    assertEquals(List.of(1, 0), List.of(trace.occurrences("to 13"), other.occurrences("to 13")));
  }

  /**
   * A request that isn'trace idempotent fails once it may have been executed; an attempt that never
   * was executed goes elsewhere.
   */
  @Test
  void notIdempotentIsNotRepeated() throws IOException {
    trace.list("11/1", "12/1");
    trace.arrive(1, NOT_IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.endAttempt(1, 0, AttemptOutcome.SERVER_BUSY);
    trace.endAttempt(1, 1, AttemptOutcome.TIMED_OUT);
    trace.arrive(2, NOT_IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.endAttempt(2, 0, AttemptOutcome.CONNECT_FAILED);
    trace.endAttempt(2, 1, AttemptOutcome.CONNECT_FAILED);
    trace.endAttempt(2, 2, AttemptOutcome.CONNECT_FAILED);
    trace.endAttempt(2, 3, AttemptOutcome.CONNECT_FAILED);
    trace.matches("not-idempotent");
  }

  /**
   * A request with an idempotency key may have been executed: it is sent again within the key group
   * while that remembers the key, and fails after.
   */
  @Test
  void idempotentByKeyStaysInGroup() throws IOException {
    trace.list("11/1", "12/2", "13/1");
    trace.arrive(1, IDEMPOTENT_BY_KEY, 1);
    trace.counterReplies(1);
    trace.endAttempt(1, 0, AttemptOutcome.CONNECTION_LOST);
    trace.endAttempt(1, 1, AttemptOutcome.CONNECTION_LOST);
    trace.arrive(2, IDEMPOTENT_BY_KEY, 1);
    trace.counterReplies(2);
    trace.advance(19_990);
    trace.endAttempt(2, 0, AttemptOutcome.CONNECTION_LOST);
    trace.list("12/2");
    trace.arrive(3, IDEMPOTENT_BY_KEY, 1);
    trace.counterReplies(1);
    trace.list("11/1");
    trace.endAttempt(3, 0, AttemptOutcome.SERVER_ERROR);
    trace.matches("idempotent-by-key");
  }

  /** A server drains or leaves the list: nothing new goes there, not even a retry. */
  @Test
  void nothingGoesToDrainingServers() throws IOException {
    trace.list("11/1", "12/1");
    trace.arrive(1, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.list("11/1 draining");
    trace.endAttempt(1, 0, AttemptOutcome.SERVER_BUSY);
    trace.arrive(2, IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.counterReplies(1);
    trace.list("12/1");
    trace.arrive(3, IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.say("counter total 4.0 and an empty list at once: what was charged is refunded");
    trace.arrive(4, IDEMPOTENT, 1);
    trace.deliver(trace.counterReply(4),
        new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.SNAPSHOT, List.of()));
    trace.advance(1_000);
    trace.matches("draining");
  }

  /**
   * A server that warms up beside warm ones gets its first request and then only what the budget
   * holds.
   */
  @Test
  void slowStartHoldsBudget() {
    trace.start(DecisionTrace.settings(DecisionTrace.NO_QUOTA, false, false));
    trace.list("11/1", "12/1", "13/1", "14/1", "15/1 starting");
    for (int i = 0; i < 200; i++) {
      trace.arrive(i, IDEMPOTENT, 1);
      trace.now += 50;
      if (trace.occurrences("attempt of request " + i + " to") > 0) {
        trace.endAttempt(i, 0, AttemptOutcome.SUCCEEDED);
      }
    }
    assertEquals(200, trace.occurrences("attempt of request"));
    assertTrue(trace.occurrences("to 15 for") >= 1 && trace.occurrences("to 15 for") <= 16,
        "it got " + trace.occurrences("to 15 for"));
  }

  /**
   * A request every 2.5 s over six servers, one of which never answers: its record outlasts several
   * turns of the rotation.
   */
  @Test
  void remembersOutlierAtFewRequests() {
    trace.start(DecisionTrace.settings(DecisionTrace.NO_QUOTA, false, false));
    trace.list("11/1", "12/1", "13/1", "14/1", "15/1", "16/1");
    for (int i = 0; i < 60; i++) {
      int before = trace.occurrences("to 11 for");
      trace.arrive(i, IDEMPOTENT, 1);
      boolean stuck = trace.occurrences("to 11 for") > before;
      trace.advance(stuck ? 25_000 : 1_000);
      trace.endAttempt(i, 0, stuck ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCEEDED);
      if (stuck) trace.endAttempt(i, 1, AttemptOutcome.SUCCEEDED);
      trace.advance(24_000);
    }
    assertEquals(3, trace.occurrences("to 11 for"));
  }

  /**
   * More is in flight than completes within the objective's part: requests are rejected at once,
   * sooner for clients with little time left.
   */
  @Test
  void shedsLoad() throws IOException {
    trace.start(DecisionTrace.settings(DecisionTrace.NO_QUOTA, false, false));
    trace.list("11/1", "12/1");
    trace.advance(1_500);
    for (int i = 1; i <= 8; i++) {
      trace.arrive(i, IDEMPOTENT, 1);
    }
    trace.now += 4_000;
    trace.deliver(); // it runs, without housekeeping: no stall
    trace.now += 4_000;
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED);
    trace.clientTimeoutTicks = 2_600;
    trace.arrive(9, IDEMPOTENT, 1);
    trace.clientTimeoutTicks = 30_000;
    trace.arrive(10, IDEMPOTENT, 1);
    DecisionTrace many = new DecisionTrace(
        DecisionTrace.settings(7, 200, DecisionTrace.NO_QUOTA, false, false));
    many.list("11/1", "12/1");
    many.advance(1_500);
    for (int i = 1; i <= 8; i++) many.arrive(i, IDEMPOTENT, 1);
    assertEquals(1, many.occurrences("-> attempt")); // 200 nodes share what two servers may hold
    trace.matches("load-shedding");
  }

  /**
   * The node is stopped for 8 s and continued. Requests that lay unread longer than their clients
   * wait are rejected without a call or attempt; one that came late in the stall is served in what
   * is left; a counter reply from before it starts nothing for a client that is gone; and the stall
   * counts neither against servers nor against the counter.
   */
  @Test
  void stallIsNotHeldAgainstOthers() throws IOException {
    trace.start(DecisionTrace.settings(DecisionTrace.QUOTA, false, false));
    trace.list("11/1", "12/1");
    trace.advance(1_500);
    trace.arrive(1, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.arrive(2, IDEMPOTENT, 1);
    trace.arrive(3, IDEMPOTENT, 1);
    trace.now += 80_000;
    trace.ageTicks = 60_000;
    trace.arrive(4, IDEMPOTENT, 1);
    trace.ageTicks = 10_000;
    trace.arrive(5, IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.counterFails(AttemptOutcome.TIMED_OUT);
    trace.counterReplies(3);
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED);
    trace.endAttempt(5, 0, AttemptOutcome.SUCCEEDED);
    trace.ageTicks = 0;
    for (int i = 6; i < 10; i++) trace.arrive(i, NOT_IDEMPOTENT, 1);
    trace.matches("stall");
  }

  /**
   * One server stops answering: attempts stuck there must not use up what may be in flight beside
   * it.
   */
  @Test
  void stuckAttemptsAreAbandoned() {
    trace.start(DecisionTrace.settings(DecisionTrace.NO_QUOTA, false, false));
    trace.list("11/1", "12/1");
    int stuck = 0;
    for (int i = 0; i < 400; i++) {
      trace.arrive(i, IDEMPOTENT, 1);
      trace.advance(100);
      if (trace.occurrences("attempt of request " + i + " to 12") > 0) {
        trace.endAttempt(i, 0, AttemptOutcome.SUCCEEDED);
      } else if (trace.occurrences("attempt of request " + i + " to 11") > 0) {
        stuck++;
      }
    }
    assertTrue(stuck < 12, "stuck " + stuck);
    assertTrue(trace.occurrences("to 12 for") > 330, "answered " + trace.occurrences("to 12 for"));
  }

  /** Where the node has to open the watch itself, a failed one is opened again. */
  @Test
  void reopensEndpointWatch() throws IOException {
    trace.start(DecisionTrace.settings(DecisionTrace.QUOTA, false, true));
    trace.list("11/1");
    trace.say("the watch failed");
    trace.deliver(
        new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.FAILED, List.of()));
    trace.advance(3_000);
    trace.matches("endpoint-watch-fails");
  }

  /** A streaming answer has no client timeout; a client that disconnected gets no answer. */
  @Test
  void streamsAndDisconnects() throws IOException {
    trace.list("11/1");
    trace.arrive(1, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.deliver(new GatewayEvent.ResponseStarted(1, 11, 0, 10));
    trace.advance(40_000);
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED);
    trace.arrive(2, IDEMPOTENT, 1);
    trace.deliver(new GatewayEvent.ClientDisconnected(2));
    trace.counterReplies(1);
    trace.matches("streams-and-disconnects");
  }
}
