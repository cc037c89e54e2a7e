package saltlatch.node;

import java.time.Instant;

/** The node's one clock: Unix time in tenths of a ms, never backwards. */
final class NodeClock {
  private long last;

  long now() {
    Instant i = Instant.now();
    last = Math.max(last, i.getEpochSecond() * 10_000 + i.getNano() / 100_000);
    return last;
  }
}
