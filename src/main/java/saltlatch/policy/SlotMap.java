package saltlatch.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A map from outside ids whose items are visited in the order of small slots, never of hashes: the
 * same ids added and released give the same order on every node and run. A released slot is used
 * again. Items may be released while they are visited.
 */
final class SlotMap<T> {
  private final Map<Long, Integer> slotById = new HashMap<>();
  private final List<T> slots = new ArrayList<>();
  private final List<Integer> freeSlots = new ArrayList<>();

  /** Null for an id that is not held. */
  T find(long id) {
    Integer slot = slotById.get(id);
    return slot == null ? null : slots.get(slot);
  }

  /** Adds an item, or replaces that of the same id in its slot; returns the item. */
  T put(long id, T item) {
    Integer slot = slotById.get(id);
    if (slot == null && !freeSlots.isEmpty()) {
      slot = freeSlots.remove(freeSlots.size() - 1);
    }
    if (slot == null) {
      slot = slots.size();
      slots.add(null);
    }
    slotById.put(id, slot);
    slots.set(slot, item);
    return item;
  }

  /** Does nothing for an id that is not held. */
  void release(long id) {
    Integer slot = slotById.remove(id);
    if (slot != null) {
      slots.set(slot, null);
      freeSlots.add(slot);
    }
  }

  void forEach(Consumer<T> use) {
    for (int i = 0; i < slots.size(); i++) {
      if (slots.get(i) != null) {
        use.accept(slots.get(i));
      }
    }
  }
}
