package saltlatch.node;

import java.time.Instant;
import saltlatch.api.Ticks;

/** The node's one clock: ticks since the Unix epoch, never backwards. Owned by the event loop. */
final class NodeClock {
  private static final long NANOS_PER_TICK = 1_000_000 / Ticks.PER_MILLISECOND;

  private long latestTicks;

  /** The time now, or the latest one given if the system's clock was set back. */
  long nowTicks() {
    Instant now = Instant.now();
    long ticks = now.getEpochSecond() * Ticks.PER_SECOND + now.getNano() / NANOS_PER_TICK;
    latestTicks = Math.max(latestTicks, ticks);
    return latestTicks;
  }
}
