package saltlatch.policy;

import java.util.SplittableRandom;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * Decides when this node opens the watch of the endpoint list, if the deployment leaves that to the
 * policy: at the start, and after a failure. After a failure it waits for a random time, so that
 * the nodes do not all reconnect at once.
 */
final class EndpointWatch {
  private static final long RETRY_PAUSE_TICKS = 100 * Ticks.PER_MILLISECOND;
  private static final long NEVER_TICKS = Long.MAX_VALUE;

  private final boolean mustOpen;
  private final SplittableRandom random;
  private long openAtTicks;

  EndpointWatch(GatewaySettings.Limits limits, SplittableRandom random) {
    mustOpen = limits.mustOpenWatch();
    this.random = random;
  }

  /** Records that the watch ended or could not be opened. */
  void recordFailure(long now) {
    openAtTicks = now + RETRY_PAUSE_TICKS + (long) (RETRY_PAUSE_TICKS * random.nextDouble());
  }

  boolean isDue(long now) {
    return mustOpen && now >= openAtTicks;
  }

  void recordOpened() {
    openAtTicks = NEVER_TICKS;
  }
}
