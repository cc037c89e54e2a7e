package saltlatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import saltlatch.lab.flood.FloodFleet;
import saltlatch.lab.flood.FloodKind;
import saltlatch.lab.flood.UsualTimes;

/**
 * Six connections flood one of four nodes that share a core with two busy processes. Runs alone,
 * since it asserts the times that the nodes owe their usual clients.
 */
@Isolated
class FloodIT {
  private static final int CONNECTIONS = 6;
  private static final int BUSY_PROCESSES = 2;
  private static final long PART_MS = 4_000;
  private static final long SEED = 1;
  private static final double MAX_P99_RATIO = 2;

  @TempDir Path directory;

  private FloodFleet startFleet() throws Exception {
    int core = Runtime.getRuntime().availableProcessors() - 1;
    return new FloodFleet(FloodFleet.program(directory), core, BUSY_PROCESSES, SEED);
  }

  /**
   * Guards against the incident of issue 62: one iteration of the event loop processed all that the
   * flooding connections had sent, for seconds, and usual requests got their answers late.
   */
  @Test
  void usualRequestsAreInTimeDuringEachKindOfFlood() throws Exception {
    List<String> broken = new ArrayList<>();
    try (FloodFleet fleet = startFleet()) {
      UsualTimes calm = fleet.calm(PART_MS);
      for (FloodKind kind : FloodKind.values()) {
        UsualTimes flood = fleet.flood(kind, CONNECTIONS, PART_MS);
        System.out.println(kind + ": " + flood + "; calm: " + calm);
        if (flood.late() > 0 || flood.p99Ms() > MAX_P99_RATIO * calm.p99Ms())
          broken.add(kind + ": " + flood + "; calm: " + calm);
      }
      assertTrue(fleet.residentKb() > 0, "the flooded node has ended");
    }
    assertEquals(List.of(), broken);
  }

  /** Guards against the same while the JVM still interprets its code. */
  @Test
  void usualRequestsAreInTimeIfTheFloodBeginsAtTheStart() throws Exception {
    try (FloodFleet fleet = startFleet()) {
      UsualTimes flood = fleet.flood(FloodKind.PING, CONNECTIONS, PART_MS);
      assertEquals(0, flood.late(), flood.toString());
    }
  }
}
