package saltlatch.distribution;

import java.util.SplittableRandom;

/**
 * Random delays whose upper bound doubles with each failure, up to a maximum. The randomness
 * spreads the retries of clients that failed at the same time.
 */
final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final long minMs;
  private final long initialMaxMs;
  private final long maxMs;

  /**
   * Creates delays of at least {@code minMs}. The upper bound starts at {@code initialMaxMs} and is
   * at most {@code maxMs}.
   */
  Backoff(long minMs, long initialMaxMs, long maxMs) {
    this.minMs = minMs;
    this.initialMaxMs = initialMaxMs;
    this.maxMs = maxMs;
  }

  /** Returns a delay in ms, given the number of failures before the current one. */
  long delayMs(int failures, SplittableRandom random) {
    long doubled = initialMaxMs << Math.min(failures, MAX_DOUBLINGS);
    return random.nextLong(minMs, Math.min(doubled, maxMs) + 1);
  }
}
