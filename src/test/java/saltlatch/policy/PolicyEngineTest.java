package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;

/**
 * Tests the engine's decisions on app servers and attempts, and after the node was stalled. Each
 * test records a short trace of decisions. The expected traces are readable text files in
 * src/test/resources/traces. Times are in ticks.
 */
class PolicyEngineTest {
  private static final int IDEMPOTENT = 0;
  private static final int IDEMPOTENT_BY_KEY = 1;
  private static final int NOT_IDEMPOTENT = 2;

  private final DecisionTrace trace = new DecisionTrace(
      DecisionTrace.settings(DecisionTrace.QUOTA, false, false));

  /**
   * Guards against many nodes with few requests each that all start their rotation at the same
   * server, which would then get all of these requests.
   */
  @Test
  void nodesStartTheirRotationsAtDifferentServers() {
    DecisionTrace other = new DecisionTrace(
        DecisionTrace.settings(9, 2, DecisionTrace.QUOTA, false, false));
    for (DecisionTrace node : List.of(trace, other)) {
      node.updateServerList("11/1", "12/1", "13/1", "14/1", "15/1");
      node.requestArrives(1, IDEMPOTENT, 1);
      node.counterReplies(1);
    }
    assertEquals(List.of(1, 0), List.of(trace.occurrences("to 13"), other.occurrences("to 13")));
  }

  /**
   * Guards against executing a request twice if it is not idempotent: it fails if an attempt may
   * have been executed. After an attempt that cannot have been executed, it is sent to another
   * server.
   */
  @Test
  void requestThatIsNotIdempotentIsNotExecutedTwice() throws IOException {
    trace.updateServerList("11/1", "12/1");
    trace.requestArrives(1, NOT_IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.endAttempt(1, 0, AttemptOutcome.SERVER_BUSY);
    trace.endAttempt(1, 1, AttemptOutcome.TIMED_OUT);
    trace.requestArrives(2, NOT_IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.endAttempt(2, 0, AttemptOutcome.CONNECT_FAILED);
    trace.endAttempt(2, 1, AttemptOutcome.CONNECT_FAILED);
    trace.endAttempt(2, 2, AttemptOutcome.CONNECT_FAILED);
    trace.endAttempt(2, 3, AttemptOutcome.CONNECT_FAILED);
    trace.assertMatchesFile("not-idempotent");
  }

  /**
   * A request with an idempotency key that may have been executed is sent again only to servers of
   * the same key group, and only while these remember the key. After that it fails.
   */
  @Test
  void retryWithIdempotencyKeyStaysInItsKeyGroup() throws IOException {
    trace.updateServerList("11/1", "12/2", "13/1");
    trace.requestArrives(1, IDEMPOTENT_BY_KEY, 1);
    trace.counterReplies(1);
    trace.endAttempt(1, 0, AttemptOutcome.CONNECTION_LOST);
    trace.endAttempt(1, 1, AttemptOutcome.CONNECTION_LOST);
    trace.requestArrives(2, IDEMPOTENT_BY_KEY, 1);
    trace.counterReplies(2);
    trace.advance(19_990);
    trace.endAttempt(2, 0, AttemptOutcome.CONNECTION_LOST);
    trace.updateServerList("12/2");
    trace.requestArrives(3, IDEMPOTENT_BY_KEY, 1);
    trace.counterReplies(1);
    trace.updateServerList("11/1");
    trace.endAttempt(3, 0, AttemptOutcome.SERVER_ERROR);
    trace.assertMatchesFile("idempotent-by-key");
  }

  /**
   * A server that drains or is removed from the endpoint list gets no new attempt, not even a
   * retry.
   */
  @Test
  void drainingAndRemovedServersGetNoAttempts() throws IOException {
    trace.updateServerList("11/1", "12/1");
    trace.requestArrives(1, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.updateServerList("11/1 draining");
    trace.endAttempt(1, 0, AttemptOutcome.SERVER_BUSY);
    trace.requestArrives(2, IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.counterReplies(1);
    trace.updateServerList("12/1");
    trace.requestArrives(3, IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.addLine("counter total 4.0 and an empty list at once: what was charged is refunded");
    trace.requestArrives(4, IDEMPOTENT, 1);
    trace.deliver(trace.counterReply(4),
        new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.SNAPSHOT, List.of()));
    trace.advance(1_000);
    trace.assertMatchesFile("draining");
  }

  /**
   * A server that warms up next to four warm servers gets a first request, and then only as many as
   * its warm-up budget allows.
   */
  @Test
  void startingServerStaysWithinItsWarmUpBudget() {
    trace.start(DecisionTrace.settings(DecisionTrace.NO_QUOTA, false, false));
    trace.updateServerList("11/1", "12/1", "13/1", "14/1", "15/1 starting");
    for (int requestId = 0; requestId < 200; requestId++) {
      trace.requestArrives(requestId, IDEMPOTENT, 1);
      trace.now += 50;
      if (trace.occurrences("attempt of request " + requestId + " to") > 0) {
        trace.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED);
      }
    }
    assertEquals(200, trace.occurrences("attempt of request"));
    assertTrue(trace.occurrences("to 15 for") >= 1 && trace.occurrences("to 15 for") <= 16,
        "attempts sent to the starting server: " + trace.occurrences("to 15 for"));
  }

  /**
   * Requests arrive every 2.5 s for six servers, one of which never answers. Guards against a
   * record of its failures that decays before the rotation selects the server again: the record
   * must last for several turns of the rotation.
   */
  @Test
  void outlierIsRememberedAtLowRequestRates() {
    trace.start(DecisionTrace.settings(DecisionTrace.NO_QUOTA, false, false));
    trace.updateServerList("11/1", "12/1", "13/1", "14/1", "15/1", "16/1");
    for (int requestId = 0; requestId < 60; requestId++) {
      int attemptsBefore = trace.occurrences("to 11 for");
      trace.requestArrives(requestId, IDEMPOTENT, 1);
      boolean stuck = trace.occurrences("to 11 for") > attemptsBefore;
      trace.advance(stuck ? 25_000 : 1_000);
      trace.endAttempt(requestId, 0, stuck ? AttemptOutcome.TIMED_OUT : AttemptOutcome.SUCCEEDED);
      if (stuck) {
        trace.endAttempt(requestId, 1, AttemptOutcome.SUCCEEDED);
      }
      trace.advance(24_000);
    }
    assertEquals(3, trace.occurrences("to 11 for"));
  }

  /**
   * More attempts are in flight than complete within the allowed part of the latency objective.
   * Requests are then rejected immediately, and at a lower load if their clients have little time
   * left.
   */
  @Test
  void rejectsRequestsWhenTooManyAttemptsAreInFlight() throws IOException {
    trace.start(DecisionTrace.settings(DecisionTrace.NO_QUOTA, false, false));
    trace.updateServerList("11/1", "12/1");
    trace.advance(1_500);
    for (int requestId = 1; requestId <= 8; requestId++) {
      trace.requestArrives(requestId, IDEMPOTENT, 1);
    }
    trace.now += 4_000;
    trace.deliver(); // the engine runs without its housekeeping timer, so this is no stall
    trace.now += 4_000;
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED);
    trace.clientTimeoutTicks = 2_600;
    trace.requestArrives(9, IDEMPOTENT, 1);
    trace.clientTimeoutTicks = 30_000;
    trace.requestArrives(10, IDEMPOTENT, 1);
    DecisionTrace nodeOfLargeFleet = new DecisionTrace(
        DecisionTrace.settings(7, 200, DecisionTrace.NO_QUOTA, false, false));
    nodeOfLargeFleet.updateServerList("11/1", "12/1");
    nodeOfLargeFleet.advance(1_500);
    for (int requestId = 1; requestId <= 8; requestId++) {
      nodeOfLargeFleet.requestArrives(requestId, IDEMPOTENT, 1);
    }
    // 200 nodes share the attempts that two servers may have in flight.
    assertEquals(1, nodeOfLargeFleet.occurrences("-> attempt"));
    trace.assertMatchesFile("load-shedding");
  }

  /**
   * The node is suspended for 8 s and then resumed. Guards against attributing the stall to others,
   * and against work for clients that have timed out:
   * <ul>
   * <li>A request that stayed unread for longer than its client's timeout is rejected without a
   * counter call or attempt.
   * <li>A request that arrived late in the stall is served within its remaining time.
   * <li>A counter reply from before the stall starts no attempt if the client has timed out.
   * <li>The stall lowers the rating of neither the app servers nor the counter.
   * </ul>
   */
  @Test
  void stallOfTheNodeAffectsNeitherServersNorCounter() throws IOException {
    trace.start(DecisionTrace.settings(DecisionTrace.QUOTA, false, false));
    trace.updateServerList("11/1", "12/1");
    trace.advance(1_500);
    trace.requestArrives(1, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.requestArrives(2, IDEMPOTENT, 1);
    trace.requestArrives(3, IDEMPOTENT, 1);
    trace.now += 80_000;
    trace.unreadTicks = 60_000;
    trace.requestArrives(4, IDEMPOTENT, 1);
    trace.unreadTicks = 10_000;
    trace.requestArrives(5, IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.counterFails(AttemptOutcome.TIMED_OUT);
    trace.counterReplies(3);
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED);
    trace.endAttempt(5, 0, AttemptOutcome.SUCCEEDED);
    trace.unreadTicks = 0;
    for (int requestId = 6; requestId < 10; requestId++) {
      trace.requestArrives(requestId, NOT_IDEMPOTENT, 1);
    }
    trace.assertMatchesFile("stall");
  }

  /**
   * One of two servers stops answering. Guards against its stuck attempts using up the node's limit
   * of attempts in flight, so that requests for the healthy server are rejected.
   */
  @Test
  void stuckAttemptsDoNotBlockTheHealthyServer() {
    trace.start(DecisionTrace.settings(DecisionTrace.NO_QUOTA, false, false));
    trace.updateServerList("11/1", "12/1");
    int stuckAttempts = 0;
    for (int requestId = 0; requestId < 400; requestId++) {
      trace.requestArrives(requestId, IDEMPOTENT, 1);
      trace.advance(100);
      if (trace.occurrences("attempt of request " + requestId + " to 12") > 0) {
        trace.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED);
      } else if (trace.occurrences("attempt of request " + requestId + " to 11") > 0) {
        stuckAttempts++;
      }
    }
    assertTrue(stuckAttempts < 12, "attempts stuck on server 11: " + stuckAttempts);
    assertTrue(trace.occurrences("to 12 for") > 330,
        "attempts sent to server 12: " + trace.occurrences("to 12 for"));
  }

  /** If the node has to open the endpoint watch itself, it opens a failed watch again. */
  @Test
  void reopensFailedEndpointWatch() throws IOException {
    trace.start(DecisionTrace.settings(DecisionTrace.QUOTA, false, true));
    trace.updateServerList("11/1");
    trace.addLine("the watch failed");
    trace.deliver(
        new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.FAILED, List.of()));
    trace.advance(3_000);
    trace.assertMatchesFile("endpoint-watch-fails");
  }

  /**
   * The client timeout does not apply to an answer that has started streaming. A client that has
   * disconnected gets no answer.
   */
  @Test
  void streamingAnswerHasNoTimeoutAndDisconnectedClientGetsNoAnswer() throws IOException {
    trace.updateServerList("11/1");
    trace.requestArrives(1, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.deliver(new GatewayEvent.ResponseStarted(1, 11, 0, 10));
    trace.advance(40_000);
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED);
    trace.requestArrives(2, IDEMPOTENT, 1);
    trace.deliver(new GatewayEvent.ClientDisconnected(2));
    trace.counterReplies(1);
    trace.assertMatchesFile("streams-and-disconnects");
  }
}
