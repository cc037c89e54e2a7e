package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;

/**
 * Quotas and the counter, through the whole engine. Each test prints a short trace of decisions;
 * the kept ones are in src/test/resources/traces, to be read. Times are in ticks.
 */
class PolicyEngineCounterTest {
  private static final int IDEMPOTENT = 0;

  private final DecisionTrace trace = new DecisionTrace(
      DecisionTrace.settings(DecisionTrace.QUOTA, false, false));

  /** Two requests whose counter calls get no reply: from then on there is a backoff. */
  private void startBackoff(double units) {
    trace.arrive(1, IDEMPOTENT, units);
    trace.arrive(2, IDEMPOTENT, units);
    trace.advance(300);
    trace.counterFails(AttemptOutcome.TIMED_OUT);
    trace.counterFails(AttemptOutcome.TIMED_OUT);
  }

  /**
   * A request is admitted while the total is below the burst; at the burst the next is rejected and
   * its reservation refunded.
   */
  @Test
  void admitsBelowBurst() throws IOException {
    trace.list("11/1", "12/1");
    trace.arrive(1, IDEMPOTENT, 3);
    trace.now += 20;
    trace.counterReplies(3);
    trace.arrive(2, IDEMPOTENT, 3);
    trace.now += 20;
    trace.counterReplies(8); // another node charged 2
    trace.arrive(3, IDEMPOTENT, 3);
    trace.now += 20;
    trace.counterReplies(11);
    trace.now += 20;
    trace.counterReplies(8);
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED);
    trace.endAttempt(2, 0, AttemptOutcome.SUCCEEDED);
    trace.matches("ordinary-path");
  }

  /**
   * Actual units come with the answer: the reservation starts from the estimate, is settled on the
   * window that was charged, and learns.
   */
  @Test
  void settlesAndLearnsReservation() throws IOException {
    trace.start(DecisionTrace.settings(DecisionTrace.QUOTA, true, false));
    trace.list("11/1");
    trace.arrive(1, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.endAttempt(1, 0, AttemptOutcome.SUCCEEDED, 3);
    trace.counterReplies(3);
    trace.arrive(2, IDEMPOTENT, 1);
    trace.counterReplies(9);
    trace.endAttempt(2, 0, AttemptOutcome.SUCCEEDED, 2);
    trace.matches("settlement");
  }

  /**
   * The counter goes silent. Two misses start a backoff: this node's share decides, and one call
   * each backoff tests the counter. Prompt replies end it.
   */
  @Test
  void backsOffSilentCounter() throws IOException {
    trace.list("11/1", "12/1", "13/1", "14/1");
    startBackoff(1);
    for (int i = 3; i < 7; i++) {
      trace.advance(50);
      trace.arrive(i, IDEMPOTENT, 1);
    }
    trace.say("the counter answers again");
    for (int i = 7; i < 220; i++) {
      trace.muted = i > 9 && i < 218;
      trace.advance(100);
      trace.counterReplies(2);
      trace.arrive(i, IDEMPOTENT, 0.01);
      trace.endAttempt(i, 0, AttemptOutcome.SUCCEEDED);
    }
    trace.counterReplies(2);
    trace.matches("silent-counter");
  }

  /**
   * What is admitted by a share is carried by the next call: it must not be charged a second time
   * when a total shows it, nor hide the unit that another node charged.
   */
  @Test
  void backoffChargesOnce() throws IOException {
    trace.list("11/1", "12/1", "13/1", "14/1");
    startBackoff(0.01);
    for (int i = 3; i < 24; i++) {
      trace.muted = i > 4 && i < 23;
      trace.advance(4);
      trace.arrive(i, IDEMPOTENT, 0.05);
      trace.endAttempt(i, 0, AttemptOutcome.SUCCEEDED);
    }
    trace.advance(20);
    trace.arrive(24, IDEMPOTENT, 0.05);
    trace.counterReplies(3); // the backoff's call
    trace.counterReplies(4); // what was admitted since, and one unit of another node
    trace.advance(20);
    trace.arrive(25, IDEMPOTENT, 1);
    trace.counterReplies(5);
    trace.matches("backoff-charges-once");
  }

  /**
   * Requests come less often than the backoff lets calls out. It ends all the same, within three
   * seconds of replies.
   */
  @Test
  void backoffEndsAtFewRequests() {
    trace.list("11/1", "12/1", "13/1", "14/1");
    startBackoff(0.01);
    for (int i = 3; i < 70; i++) {
      trace.advance(400);
      trace.arrive(i, IDEMPOTENT, 0.01);
      trace.counterReplies(0.01 * i);
      trace.endAttempt(i, 0, AttemptOutcome.SUCCEEDED);
    }
    int calls = trace.occurrences("-> counter call");
    for (int i = 70; i < 73; i++) trace.arrive(i, IDEMPOTENT, 0.01);
    assertEquals(3, trace.occurrences("-> counter call") - calls);
  }

  /**
   * A customer comes mostly through other nodes. When the counter goes silent, it has less than an
   * even share here.
   */
  @Test
  void learnsShareOfCustomer() throws IOException {
    trace.list("11/1", "12/1", "13/1", "14/1");
    trace.muted = true;
    for (int i = 1; i < 40; i++) {
      trace.advance(30_000);
      trace.arrive(i, IDEMPOTENT, 0.1);
      trace.counterReplies(3);
      trace.endAttempt(i, 0, AttemptOutcome.SUCCEEDED);
    }
    trace.advance(60_000);
    trace.muted = false;
    for (int i = 40; i < 46; i++) trace.arrive(i, IDEMPOTENT, 1);
    trace.advance(300);
    for (int i = 40; i < 46; i++) {
      trace.counterFails(AttemptOutcome.TIMED_OUT);
      trace.endAttempt(i, 0, AttemptOutcome.SUCCEEDED);
    }
    trace.matches("learned-share");
  }

  /**
   * A counter call that broke off may have counted, one that was turned down has not: only the
   * latter is charged again.
   */
  @Test
  void unconfirmedCallMayHaveCounted() throws IOException {
    trace.list("11/1", "12/1", "13/1", "14/1");
    trace.arrive(1, IDEMPOTENT, 1);
    trace.counterFails(AttemptOutcome.CONNECTION_LOST);
    trace.arrive(2, IDEMPOTENT, 1);
    trace.counterReplies(1);
    trace.arrive(3, IDEMPOTENT, 1);
    trace.counterFails(AttemptOutcome.SERVER_BUSY);
    trace.arrive(4, IDEMPOTENT, 1);
    trace.counterReplies(4);
    trace.matches("unconfirmed-counter-call");
  }

  /**
   * 200 nodes must not keep an overloaded counter overloaded by their calls: each calls far less
   * than one of two nodes does.
   */
  @Test
  void manyNodesStretchBackoff() {
    DecisionTrace many = new DecisionTrace(
        DecisionTrace.settings(7, 200, DecisionTrace.QUOTA, false, false));
    for (DecisionTrace node : List.of(trace, many)) {
      node.list("11/1");
      for (int i = 0; i < 200; i++) {
        node.arrive(i, IDEMPOTENT, 0.01);
        node.advance(300);
        node.counterFails(AttemptOutcome.TIMED_OUT);
        node.endAttempt(i, 0, AttemptOutcome.SUCCEEDED);
      }
    }
    assertEquals(List.of(47, 12),
        List.of(trace.occurrences("-> counter call"), many.occurrences("-> counter call")));
  }

  /** The counter never replies: every request has one final answer in time all the same. */
  @Test
  void counterNeverReplies() throws IOException {
    trace.list("11/1");
    trace.arrive(1, IDEMPOTENT, 1);
    trace.advance(40_000);
    trace.matches("counter-never-replies");
  }

  /**
   * The counter lost its counts: a total is below what this node alone had confirmed. The known
   * floor decides for the rest of the window.
   */
  @Test
  void counterLosesCounts() throws IOException {
    trace.list("11/1");
    trace.arrive(1, IDEMPOTENT, 3);
    trace.counterReplies(5);
    trace.arrive(2, IDEMPOTENT, 1);
    trace.counterReplies(1); // 5 was forgotten
    trace.arrive(3, IDEMPOTENT, 1);
    trace.counterReplies(2);
    trace.matches("counter-lost-counts");
  }

  /**
   * The quota is spent, then the counter is silent: first attempts get the room there is, late
   * retries of clients are rejected.
   */
  @Test
  void rejectsLateRetries() throws IOException {
    trace.list("11/1", "12/1", "13/1");
    trace.arrive(1, IDEMPOTENT, 6);
    trace.counterReplies(6);
    trace.arrive(2, IDEMPOTENT, 1);
    trace.counterReplies(7);
    trace.counterReplies(6);
    trace.advance(10_000);
    trace.arrive(3, IDEMPOTENT, 1, true);
    trace.counterReplies(7);
    trace.counterReplies(6);
    trace.arrive(4, IDEMPOTENT, 1);
    trace.counterReplies(7);
    trace.arrive(5, IDEMPOTENT, 0.1);
    trace.counterFails(AttemptOutcome.TIMED_OUT);
    trace.arrive(6, IDEMPOTENT, 0.1);
    trace.counterFails(AttemptOutcome.TIMED_OUT); // the backoff starts here
    trace.arrive(7, IDEMPOTENT, 0.1, true);
    trace.arrive(8, IDEMPOTENT, 0.1);
    trace.matches("client-retries");
  }

  /** This node's part of the ceiling is empty at its start: a restart must not fill it. */
  @Test
  void restartFillsNoCeiling() throws IOException {
    GatewaySettings settings = DecisionTrace
        .settings(new GatewaySettings.QuotaPlan(20, 60, 0, 10, 20, 1), false, false);
    trace.start(settings);
    trace.list("11/1");
    trace.arrive(1, IDEMPOTENT, 4);
    trace.counterReplies(4);
    trace.counterReplies(0);
    trace.advance(10_000);
    trace.arrive(2, IDEMPOTENT, 4);
    trace.counterReplies(4);
    trace.say("restart");
    trace.start(settings);
    trace.list("11/1");
    trace.arrive(3, IDEMPOTENT, 4);
    trace.counterReplies(8);
    trace.matches("ceiling-across-restart");
  }
}
