package saltlatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.lab.scale.HollowComparison.Row;

/**
 * Checks the comparison's verdict: bytes and messages may differ by 10 % of the real node's value
 * in either direction; CPU and memory have no limit.
 */
class HollowTableTest {
  @Test
  void marksDifferencesAboveTenPercentAsFailed() {
    Row same = new Row(5, "messages", 0, 0, true);
    Row near = new Row(5, "bytes", 200, 219, true);
    Row far = new Row(5, "bytes", 200, 179, true);
    Row cpu = new Row(5, "CPU", 10, 33, false);
    assertTrue(same.passed() && near.passed() && cpu.passed());
    assertFalse(far.passed());
    assertFalse(new Row(5, "bytes", 0, 1, true).passed());
    List<String> lines = HollowTable.of(List.of(same, near, far, cpu)).lines().toList();
    assertEquals("| 5 | bytes | 200 | 179 | -10.5 % | **no** |", lines.get(lines.size() - 2));
    assertEquals("| 5 | CPU | 10 | 33 | +230.0 % | not asked |", lines.get(lines.size() - 1));
  }
}
