package saltlatch.policy;

import java.util.SplittableRandom;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * When this node opens the watch of the endpoint list, where the deployment leaves that to it: at
 * the start, and a pause after it failed. The pause is drawn, so that nodes don't come back
 * together.
 */
final class EndpointWatch {
  private static final long RETRY_PAUSE_TICKS = 100 * Ticks.PER_MILLISECOND;
  private static final long NEVER = Long.MAX_VALUE;

  private final boolean mustOpen;
  private final SplittableRandom random;
  private long openAtTicks;

  EndpointWatch(GatewaySettings.Limits limits, SplittableRandom random) {
    mustOpen = limits.mustOpenWatch();
    this.random = random;
  }

  /** The watch ended, or could not be opened. */
  void recordFailure(long now) {
    openAtTicks = now + RETRY_PAUSE_TICKS + (long) (RETRY_PAUSE_TICKS * random.nextDouble());
  }

  boolean isDue(long now) {
    return mustOpen && now >= openAtTicks;
  }

  void recordOpened() {
    openAtTicks = NEVER;
  }
}
