package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent.AttemptOutcome;

/**
 * Tests the slowness of an app server, 1 for the expected time, and which attempts are stuck. Times
 * are in ticks.
 */
class OutlierDetectionTest {
  private static final long OBJECTIVE_TICKS = 10_000;

  private final OutlierDetection outliers = new OutlierDetection();
  private final ServerState server = new ServerState(1);

  private Attempt startAttempt(long now, double expectedTicks) {
    Attempt attempt = new Attempt(server, now, expectedTicks);
    outliers.recordStart(attempt, now);
    server.inFlight++;
    return attempt;
  }

  private void endAttempt(Attempt attempt, AttemptOutcome outcome, long now) {
    server.inFlight--;
    outliers.recordEnd(attempt, outcome, now);
  }

  @Test
  void serverThatTakesTheExpectedTimeIsNotSlow() {
    assertEquals(1, outliers.slownessWithSilence(server, 0));
    endAttempt(startAttempt(0, 100), AttemptOutcome.SUCCEEDED, 100);
    assertEquals(1, outliers.slownessWithSilence(server, 100), 1e-9);
  }

  /**
   * A failure counts as eight expected times, in addition to the three attempts of the expected
   * time that every server starts with. The record decays with a time constant of 4 s.
   */
  @Test
  void failureIncreasesSlownessAndDecays() {
    endAttempt(startAttempt(0, 100), AttemptOutcome.CONNECT_FAILED, 0);
    assertEquals((8 + 3) / 3.0, outliers.slownessWithSilence(server, 0), 1e-9);
    long memoryTicks = 40_000;
    assertEquals((8 / Math.E + 3) / 3, outliers.slownessWithSilence(server, memoryTicks), 1e-9);
    outliers.forget(server);
    assertEquals(1, outliers.slownessWithSilence(server, memoryTicks));
  }

  /** An attempt that was never sent provides no information about the server. */
  @Test
  void attemptsNotSentDoNotAffectSlowness() {
    endAttempt(startAttempt(0, 100), AttemptOutcome.NOT_SENT, 5_000);
    endAttempt(startAttempt(5_000, 100), AttemptOutcome.WITHDRAWN, 5_000);
    assertEquals(1, outliers.slownessWithSilence(server, 5_000));
  }

  /**
   * When a server pauses, its attempts in flight increase its slowness before they end, and after
   * two expected times without an outcome the silence multiplies it.
   */
  @Test
  void silenceOfAServerMultipliesItsSlowness() {
    startAttempt(0, 100);
    assertEquals((2 + 3) / 3.0, outliers.slownessWithSilence(server, 200), 1e-9);
    assertEquals((4 + 3) / 3.0 * 4 / 2, outliers.slownessWithSilence(server, 400), 1e-9);
  }

  @Test
  void attemptOnAnOutlierIsStuckAfterHalfTheObjective() {
    Attempt attempt = startAttempt(0, 100);
    assertFalse(outliers.isStuck(attempt, OBJECTIVE_TICKS, OBJECTIVE_TICKS / 2));
    assertTrue(outliers.isStuck(attempt, OBJECTIVE_TICKS, OBJECTIVE_TICKS / 2 + 1));
  }

  @Test
  void longAttemptOnAHealthyServerIsNotStuck() {
    Attempt attempt = startAttempt(0, 4_000);
    assertFalse(outliers.isStuck(attempt, OBJECTIVE_TICKS, OBJECTIVE_TICKS / 2 + 1));
  }

  /** Guards against a stall of this node, here of 0.8 s, that makes the app server look slow. */
  @Test
  void stallOfTheNodeDoesNotAffectSlowness() {
    Attempt attempt = startAttempt(0, 100);
    outliers.recordStall(server, 8_000);
    outliers.excludeStall(attempt, 8_000);
    assertEquals(1, outliers.slownessWithSilence(server, 8_000));
  }
}
