package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which items are visited, and the reuse of slots. */
class SlotMapTest {
  private final SlotMap<String> map = new SlotMap<>();

  private List<String> itemsInVisitOrder() {
    List<String> items = new ArrayList<>();
    map.forEach(items::add);
    return items;
  }

  /**
   * Guards against a visit order that depends on ids: a replay would then differ from its
   * recording.
   */
  @Test
  void visitsInSlotOrderAndReusesReleasedSlots() {
    map.put(900, "a");
    map.put(5, "b");
    map.put(70, "c");
    map.release(5);
    assertNull(map.find(5));
    assertEquals(List.of("a", "c"), itemsInVisitOrder());
    map.put(1, "d");
    assertEquals(List.of("a", "d", "c"), itemsInVisitOrder());
    assertEquals("d", map.find(1));
  }

  @Test
  void putReplacesAnItemInItsSlot() {
    map.put(1, "a");
    map.put(2, "b");
    map.put(1, "c");
    assertEquals(List.of("c", "b"), itemsInVisitOrder());
    map.release(3);
    assertEquals(2, itemsInVisitOrder().size());
  }

  @Test
  void itemsCanBeReleasedDuringAVisit() {
    map.put(1, "a");
    map.put(2, "b");
    map.forEach(item -> map.release(item.equals("a") ? 1 : 2));
    assertEquals(List.of(), itemsInVisitOrder());
  }
}
