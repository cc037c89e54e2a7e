package saltlatch.node;

import java.time.Instant;
import java.util.function.LongSupplier;
import saltlatch.api.Ticks;

/**
 * The node's only clock: ticks since the Unix epoch as they were known at the start, counted on by
 * the monotonic clock. Guards against steps of the wall clock, by which timers would fire early or
 * stand still. Owned by the event loop.
 */
final class NodeClock {
  private static final long NANOS_PER_TICK = 1_000_000 / Ticks.PER_MILLISECOND;

  private final LongSupplier monotonicNanos;
  private final long startNanos;
  private final long startTicks;

  /** Creates a clock that starts at the present wall-clock time. */
  NodeClock() {
    this(Instant.now(), System::nanoTime);
  }

  /** Creates a clock that starts at this time; the supplier is the monotonic clock. */
  NodeClock(Instant start, LongSupplier monotonicNanos) {
    this.monotonicNanos = monotonicNanos;
    startNanos = monotonicNanos.getAsLong();
    startTicks = start.getEpochSecond() * Ticks.PER_SECOND + start.getNano() / NANOS_PER_TICK;
  }

  /** Returns the current time, which never decreases. */
  long nowTicks() {
    return startTicks + (monotonicNanos.getAsLong() - startNanos) / NANOS_PER_TICK;
  }
}
