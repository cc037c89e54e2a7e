package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;

/**
 * Tests the engine's decisions on quotas and counter calls. Each test records a short trace of
 * decisions. The expected traces are readable text files in src/test/resources/traces. Times are in
 * ticks.
 */
class PolicyEngineCounterTest {
  private static final int IDEMPOTENT = 0;

  private final DecisionTrace trace = new DecisionTrace(
      DecisionTrace.settings(DecisionTrace.QUOTA, false, false));

  /** Starts a backoff: the counter calls of two requests get no reply. */
  private void startBackoff(double units) {
    trace.requestArrives(1, IDEMPOTENT, units);
    trace.requestArrives(2, IDEMPOTENT, units);
    trace.advance(300);
    trace.counterFails(AttemptOutcome.TIMED_OUT);
    trace.counterFails(AttemptOutcome.TIMED_OUT);
  }

  /**
   * Requests are admitted while the counter's total is below the burst. When it has reached the
   * burst, the next request is rejected and its reservation is refunded.
   */
  @Test
  void admitsRequestsWhileTheTotalIsBelowTheBurst() throws IOException {
    trace.updateServerList("11/1", "12/1");
    trace.requestArrives(1, IDEMPOTENT, 3);
    trace.now += 20;
    trace.counterReplies(3);
    trace.requestArrives(2, IDEMPOTENT, 3);
    trace.now += 20;
    trace.counterReplies(8); // another node charged 2
    trace.requestArrives(3, IDEMPOTENT, 3);
    trace.now += 20;
    trace.counterReplies(11);
    trace.now += 20;
    trace.counterReplies(8);
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED);
    trace.endAttempt(2, 0, AttemptOutcome.SUCCEEDED);
    trace.assertMatchesFile("ordinary-path");
  }

  /**
   * Actual units are reported with the answer. The reservation starts from the estimate, is settled
   * in the window that was charged, and is adjusted for later requests.
   */
  @Test
  void settlesByActualUnitsAndLearnsTheReservation() throws IOException {
    trace.start(DecisionTrace.settings(DecisionTrace.QUOTA, true, false));
    trace.updateServerList("11/1");
    trace.requestArrives(1, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED, 3);
    trace.counterReplies(3);
    trace.requestArrives(2, IDEMPOTENT, 1);
    trace.counterReplies(9);
    trace.endAttempt(2, 0, AttemptOutcome.SUCCEEDED, 2);
    trace.assertMatchesFile("settlement");
  }

  /**
   * The counter stops replying. Two misses start a backoff: this node decides by its share of the
   * quota, and one call per backoff interval tests the counter. Prompt replies end the backoff.
   */
  @Test
  void backsOffWhileTheCounterDoesNotReply() throws IOException {
    trace.updateServerList("11/1", "12/1", "13/1", "14/1");
    startBackoff(1);
    for (int requestId = 3; requestId < 7; requestId++) {
      trace.advance(50);
      trace.requestArrives(requestId, IDEMPOTENT, 1);
    }
    trace.addLine("the counter answers again");
    for (int requestId = 7; requestId < 220; requestId++) {
      trace.muted = requestId > 9 && requestId < 218;
      trace.advance(100);
      trace.counterReplies(2);
      trace.requestArrives(requestId, IDEMPOTENT, 0.01);
      trace.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED);
    }
    trace.counterReplies(2);
    trace.assertMatchesFile("silent-counter");
  }

  /**
   * Units admitted by this node's share are added by the next counter call. Guards against charging
   * them a second time when a total includes them, and against overlooking the unit that another
   * node charged.
   */
  @Test
  void unitsAdmittedDuringBackoffAreChargedOnce() throws IOException {
    trace.updateServerList("11/1", "12/1", "13/1", "14/1");
    startBackoff(0.01);
    for (int requestId = 3; requestId < 24; requestId++) {
      trace.muted = requestId > 4 && requestId < 23;
      trace.advance(4);
      trace.requestArrives(requestId, IDEMPOTENT, 0.05);
      trace.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED);
    }
    trace.advance(20);
    trace.requestArrives(24, IDEMPOTENT, 0.05);
    trace.counterReplies(3); // reply to the call of the backoff interval
    trace.counterReplies(4); // includes what was admitted since, and one unit of another node
    trace.advance(20);
    trace.requestArrives(25, IDEMPOTENT, 1);
    trace.counterReplies(5);
    trace.assertMatchesFile("backoff-charges-once");
  }

  /**
   * Requests arrive less often than the backoff allows calls. Guards against a backoff that then
   * never ends: it must end within three seconds of replies.
   */
  @Test
  void backoffEndsAtLowRequestRates() {
    trace.updateServerList("11/1", "12/1", "13/1", "14/1");
    startBackoff(0.01);
    for (int requestId = 3; requestId < 70; requestId++) {
      trace.advance(400);
      trace.requestArrives(requestId, IDEMPOTENT, 0.01);
      trace.counterReplies(0.01 * requestId);
      trace.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED);
    }
    int callsBefore = trace.occurrences("-> counter call");
    for (int requestId = 70; requestId < 73; requestId++) {
      trace.requestArrives(requestId, IDEMPOTENT, 0.01);
    }
    assertEquals(3, trace.occurrences("-> counter call") - callsBefore);
  }

  /**
   * Most requests of a customer arrive at other nodes. When the counter stops replying, the
   * customer must get less than an even share at this node.
   */
  @Test
  void learnsItsShareOfACustomersUsage() throws IOException {
    trace.updateServerList("11/1", "12/1", "13/1", "14/1");
    trace.muted = true;
    for (int requestId = 1; requestId < 40; requestId++) {
      trace.advance(30_000);
      trace.requestArrives(requestId, IDEMPOTENT, 0.1);
      trace.counterReplies(3);
      trace.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED);
    }
    trace.advance(60_000);
    trace.muted = false;
    for (int requestId = 40; requestId < 46; requestId++) {
      trace.requestArrives(requestId, IDEMPOTENT, 1);
    }
    trace.advance(300);
    for (int requestId = 40; requestId < 46; requestId++) {
      trace.counterFails(AttemptOutcome.TIMED_OUT);
      trace.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED);
    }
    trace.assertMatchesFile("learned-share");
  }

  /**
   * The counter may have counted a call whose connection was lost, but not a call that it rejected
   * as busy. Only the units of the rejected call are charged again.
   */
  @Test
  void onlyUnitsOfARejectedCounterCallAreChargedAgain() throws IOException {
    trace.updateServerList("11/1", "12/1", "13/1", "14/1");
    trace.requestArrives(1, IDEMPOTENT, 1);
    trace.counterFails(AttemptOutcome.CONNECTION_LOST);
    trace.requestArrives(2, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.requestArrives(3, IDEMPOTENT, 1);
    trace.counterFails(AttemptOutcome.SERVER_BUSY);
    trace.requestArrives(4, IDEMPOTENT, 1);
    trace.counterReplies(4);
    trace.assertMatchesFile("unconfirmed-counter-call");
  }

  /**
   * Guards against 200 nodes whose test calls keep an overloaded counter overloaded: each must call
   * far less often than a node of a fleet of two.
   */
  @Test
  void nodesOfLargeFleetsCallLessOftenDuringBackoff() {
    DecisionTrace nodeOfLargeFleet = new DecisionTrace(
        DecisionTrace.settings(7, 200, DecisionTrace.QUOTA, false, false));
    for (DecisionTrace node : List.of(trace, nodeOfLargeFleet)) {
      node.updateServerList("11/1");
      for (int requestId = 0; requestId < 200; requestId++) {
        node.requestArrives(requestId, IDEMPOTENT, 0.01);
        node.advance(300);
        node.counterFails(AttemptOutcome.TIMED_OUT);
        node.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED);
      }
    }
    assertEquals(List.of(47, 12), List.of(trace.occurrences("-> counter call"),
        nodeOfLargeFleet.occurrences("-> counter call")));
  }

  /** If the counter never replies, every request still gets exactly one final answer in time. */
  @Test
  void requestIsAnsweredInTimeIfTheCounterNeverReplies() throws IOException {
    trace.updateServerList("11/1");
    trace.requestArrives(1, IDEMPOTENT, 1);
    trace.advance(40_000);
    trace.assertMatchesFile("counter-never-replies");
  }

  /**
   * The counter lost its counts: a total is less than the units that it confirmed to this node
   * alone. Guards against admitting units again that are already used: for the rest of the window,
   * the last known total is a lower bound for the decisions.
   */
  @Test
  void lastKnownTotalDecidesAfterTheCounterLosesCounts() throws IOException {
    trace.updateServerList("11/1");
    trace.requestArrives(1, IDEMPOTENT, 3);
    trace.counterReplies(5);
    trace.requestArrives(2, IDEMPOTENT, 1);
    trace.counterReplies(1); // the counter has lost the total of 5
    trace.requestArrives(3, IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.assertMatchesFile("counter-lost-counts");
  }

  /**
   * The quota is exhausted, and later the counter stops replying. Guards against late retries of
   * clients that use up capacity: first attempts get the remaining capacity, late retries are
   * rejected.
   */
  @Test
  void rejectsLateRetriesInFavorOfFirstAttempts() throws IOException {
    trace.updateServerList("11/1", "12/1", "13/1");
    trace.requestArrives(1, IDEMPOTENT, 6);
    trace.counterReplies(6);
    trace.requestArrives(2, IDEMPOTENT, 1);
    trace.counterReplies(7);
    trace.counterReplies(6);
    trace.advance(10_000);
    trace.requestArrives(3, IDEMPOTENT, 1, true);
    trace.counterReplies(7);
    trace.counterReplies(6);
    trace.requestArrives(4, IDEMPOTENT, 1);
    trace.counterReplies(7);
    trace.requestArrives(5, IDEMPOTENT, 0.1);
    trace.counterFails(AttemptOutcome.TIMED_OUT);
    trace.requestArrives(6, IDEMPOTENT, 0.1);
    trace.counterFails(AttemptOutcome.TIMED_OUT); // the backoff starts here
    trace.requestArrives(7, IDEMPOTENT, 0.1, true);
    trace.requestArrives(8, IDEMPOTENT, 0.1);
    trace.assertMatchesFile("client-retries");
  }

  /**
   * This node's part of the hard ceiling is empty when the node starts. Guards against a restart
   * that refills it.
   */
  @Test
  void restartDoesNotRefillTheHardCeiling() throws IOException {
    GatewaySettings settings = DecisionTrace
        .settings(new GatewaySettings.QuotaPlan(20, 60, 0, 10, 20, 1), false, false);
    trace.start(settings);
    trace.updateServerList("11/1");
    trace.requestArrives(1, IDEMPOTENT, 4);
    trace.counterReplies(4);
    trace.counterReplies(0);
    trace.advance(10_000);
    trace.requestArrives(2, IDEMPOTENT, 4);
    trace.counterReplies(4);
    trace.addLine("restart");
    trace.start(settings);
    trace.updateServerList("11/1");
    trace.requestArrives(3, IDEMPOTENT, 4);
    trace.counterReplies(8);
    trace.assertMatchesFile("ceiling-across-restart");
  }
}
