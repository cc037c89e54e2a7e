package saltlatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.lab.scale.HollowComparison.Row;

/**
 * The comparison's verdict: 10 % of the real node's bytes and messages either way, CPU and memory
 * told alone.
 */
class HollowTableTest {
  @Test
  void tellsWhatDiffersByMoreThanATenth() {
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
