package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Guards against time limits that follow steps of the machine's wall clock. */
class NodeClockTest {
  private long nanos = -5_000_000_000L; // the monotonic clock may be negative

  @Test
  void countsFromTheStartByTheMonotonicClockAlone() {
    NodeClock clock = new NodeClock(Instant.ofEpochSecond(100, 300_000), () -> nanos);
    assertEquals(1_000_003, clock.nowTicks());
    nanos += 7_000_000_000L;
    assertEquals(1_070_003, clock.nowTicks());
  }
}
