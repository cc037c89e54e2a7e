package saltlatch.lab.tiers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import saltlatch.lab.tiers.PropagationDelay.Applied;
import saltlatch.lab.tiers.PropagationDelay.Put;
import saltlatch.lab.tiers.PropagationDelay.Times;

class PropagationDelayTest {
  private static final long MS = 1_000_000;
  private static final List<Put> PUTS = List.of(new Put(5, 100 * MS), new Put(6, 200 * MS));

  @Test
  void delayIsMeasuredForEachChangeAtEachNode() {
    Map<String, List<Applied>> nodes = new TreeMap<>();
    nodes.put("each",
        List.of(new Applied(4, 0), new Applied(5, 110 * MS), new Applied(6, 202 * MS)));
    nodes.put("both in one", List.of(new Applied(4, 0), new Applied(7, 300 * MS)));
    assertEquals(new Times(4, 0, 0, 100, 200, 200), PropagationDelay.of(PUTS, nodes));
  }

  @Test
  void missingAndBackwardIndexesAreCounted() {
    Map<String, List<Applied>> nodes = new TreeMap<>();
    nodes.put("late", List.of(new Applied(5, 101 * MS)));
    nodes.put("back", List.of(new Applied(6, 250 * MS), new Applied(5, 260 * MS)));
    nodes.put("nothing", List.of());
    Times times = PropagationDelay.of(PUTS, nodes);
    assertEquals(3, times.missing());
    assertEquals(1, times.backwards());
    assertEquals(150, times.maxMs());
  }

  @Test
  void startDelayEndsWithTheFirstList() {
    Map<String, List<Applied>> nodes = new TreeMap<>();
    nodes.put("a",
        List.of(new Applied(0, 10 * MS), new Applied(9, 30 * MS), new Applied(10, 90 * MS)));
    nodes.put("b", List.of(new Applied(0, 10 * MS)));
    assertEquals(new Times(1, 1, 0, 20, 20, 20), PropagationDelay.ofStarts(nodes));
  }

  /**
   * The required memory grows with nodes and entries, and a plan in which all nodes start at once
   * is rejected.
   */
  @Test
  void planComputesMemoryAndProcessesAndRejectsAnInvalidLayout() {
    long smallPlanBytes = new TierPlan(2, 5, 3_500, 2_700, 300, 6).bytes();
    assertTrue(smallPlanBytes > 2_700L * 3_500 * 578 && smallPlanBytes < 12L << 30,
        smallPlanBytes + " bytes");
    assertTrue(new TierPlan(2, 5, 34_000, 2_700, 300, 6).bytes() > 40L << 30);
    assertThrows(IllegalArgumentException.class, () -> new TierPlan(2, 5, 4_000, 300, 300, 6));
    TierPlan mostAtOnce = new TierPlan(2, 5, 34_000, 360, 300, 5);
    assertEquals("1 4", mostAtOnce.firstProcesses() + " " + mostAtOnce.atOnceProcesses());
  }
}
