package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent.AttemptOutcome;

class OutlierDetectionTest {
  private static final long OBJECTIVE_TICKS = 10_000;

  private final OutlierDetection outliers = new OutlierDetection();
  private final ServerState server = new ServerState(1);

  private Attempt start(long now, double expectedTicks) {
    Attempt attempt = new Attempt(server, now, expectedTicks);
    outliers.recordStart(attempt, now);
    server.inFlight++;
    return attempt;
  }

  private void end(Attempt attempt, AttemptOutcome outcome, long now) {
    server.inFlight--;
    outliers.recordEnd(attempt, outcome, now);
  }

  @Test
  void aServerThatTakesTheExpectedTimeIsNotSlow() {
    assertEquals(1, outliers.slownessWithSilence(server, 0));
    end(start(0, 100), AttemptOutcome.SUCCEEDED, 100);
    assertEquals(1, outliers.slownessWithSilence(server, 100), 1e-9);
  }

  /** A failure counts as eight expected times, beside three attempts that are assumed. */
  @Test
  void failuresMakeSlowAndFade() {
    end(start(0, 100), AttemptOutcome.CONNECT_FAILED, 0);
    assertEquals((8 + 3) / 3.0, outliers.slownessWithSilence(server, 0), 1e-9);
    long memoryTicks = 40_000;
    assertEquals((8 / Math.E + 3) / 3, outliers.slownessWithSilence(server, memoryTicks), 1e-9);
    outliers.forget(server);
    assertEquals(1, outliers.slownessWithSilence(server, memoryTicks));
  }

  /** What was never sent says nothing of the server. */
  @Test
  void attemptsNotSentCountNothing() {
    end(start(0, 100), AttemptOutcome.NOT_SENT, 5_000);
    end(start(5_000, 100), AttemptOutcome.WITHDRAWN, 5_000);
    assertEquals(1, outliers.slownessWithSilence(server, 5_000));
  }

  /** The server pauses: what is in flight counts before it ends, silence multiplies it. */
  @Test
  void silenceMultipliesSlowness() {
    start(0, 100);
    assertEquals((2 + 3) / 3.0, outliers.slownessWithSilence(server, 200), 1e-9);
    assertEquals((4 + 3) / 3.0 * 4 / 2, outliers.slownessWithSilence(server, 400), 1e-9);
  }

  @Test
  void onlyLongAttemptsOnOutliersAreStuck() {
    Attempt attempt = start(0, 100);
    assertFalse(outliers.isStuck(attempt, OBJECTIVE_TICKS, OBJECTIVE_TICKS / 2));
    assertTrue(outliers.isStuck(attempt, OBJECTIVE_TICKS, OBJECTIVE_TICKS / 2 + 1));
  }

  @Test
  void aLongAttemptOnAHealthyServerIsNotStuck() {
    Attempt attempt = start(0, 4_000);
    assertFalse(outliers.isStuck(attempt, OBJECTIVE_TICKS, OBJECTIVE_TICKS / 2 + 1));
  }

  /** The node itself was stopped for 0.8 s: the server is as good as before. */
  @Test
  void aStallIsNotHeldAgainstTheServer() {
    Attempt attempt = start(0, 100);
    outliers.recordStall(server, 8_000);
    outliers.excludeStall(attempt, 8_000);
    assertEquals(1, outliers.slownessWithSilence(server, 8_000));
  }
}
