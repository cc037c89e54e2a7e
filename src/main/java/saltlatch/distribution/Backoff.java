package saltlatch.distribution;

import java.util.SplittableRandom;

/**
 * Delays that double with each failure up to a bound, drawn at random so that many who failed at
 * once spread out.
 */
final class Backoff {
  private static final int MOST_DOUBLINGS = 20;

  private final long leastMs;
  private final long firstMs;
  private final long mostMs;

  /** Delays between {@code leastMs} and, at first, {@code firstMs}; in the end {@code mostMs}. */
  Backoff(long leastMs, long firstMs, long mostMs) {
    this.leastMs = leastMs;
    this.firstMs = firstMs;
    this.mostMs = mostMs;
  }

  /** The delay after so many failures before this one, ms. */
  long delayMs(int failures, SplittableRandom random) {
    long doubled = firstMs << Math.min(failures, MOST_DOUBLINGS);
    return random.nextLong(leastMs, Math.min(doubled, mostMs) + 1);
  }
}
