package saltlatch.node;

import java.time.Instant;
import saltlatch.api.Ticks;

/** The node's only clock: ticks since the Unix epoch, never decreasing. Owned by the event loop. */
final class NodeClock {
  private static final long NANOS_PER_TICK = 1_000_000 / Ticks.PER_MILLISECOND;

  private long latestTicks;

  /** Returns the current time, or the latest one returned if the system clock was set back. */
  long nowTicks() {
    Instant now = Instant.now();
    long ticks = now.getEpochSecond() * Ticks.PER_SECOND + now.getNano() / NANOS_PER_TICK;
    latestTicks = Math.max(latestTicks, ticks);
    return latestTicks;
  }
}
