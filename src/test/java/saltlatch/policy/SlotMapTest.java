package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SlotMapTest {
  private final SlotMap<String> map = new SlotMap<>();

  private List<String> items() {
    List<String> items = new ArrayList<>();
    map.forEach(items::add);
    return items;
  }

  /** The order of visits must not depend on ids: a replay would differ from its recording. */
  @Test
  void visitsBySlotAndUsesReleasedSlotsAgain() {
    map.put(900, "a");
    map.put(5, "b");
    map.put(70, "c");
    map.release(5);
    assertNull(map.find(5));
    assertEquals(List.of("a", "c"), items());
    map.put(1, "d");
    assertEquals(List.of("a", "d", "c"), items());
    assertEquals("d", map.find(1));
  }

  @Test
  void replacesInPlace() {
    map.put(1, "a");
    map.put(2, "b");
    map.put(1, "c");
    assertEquals(List.of("c", "b"), items());
    map.release(3);
    assertEquals(2, items().size());
  }

  @Test
  void itemsMayBeReleasedWhileVisited() {
    map.put(1, "a");
    map.put(2, "b");
    map.forEach(item -> map.release(item.equals("a") ? 1 : 2));
    assertEquals(List.of(), items());
  }
}
