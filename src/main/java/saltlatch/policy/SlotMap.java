package saltlatch.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Maps ids to items and iterates in slot order, never in hash order: the same sequence of additions
 * and releases yields the same iteration order on every node and in every run. Released slots are
 * reused. Items may be released during iteration.
 */
final class SlotMap<T> {
  private final Map<Long, Integer> slotById = new HashMap<>();
  private final List<T> slots = new ArrayList<>();
  private final List<Integer> freeSlots = new ArrayList<>();

  /** Returns the item, or null if the map does not contain the id. */
  T find(long id) {
    Integer slot = slotById.get(id);
    return slot == null ? null : slots.get(slot);
  }

  /** Adds an item, or replaces the item of the same id in its slot, and returns it. */
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

  /** Removes an item; does nothing if the map does not contain the id. */
  void release(long id) {
    Integer slot = slotById.remove(id);
    if (slot != null) {
      slots.set(slot, null);
      freeSlots.add(slot);
    }
  }

  int size() {
    return slotById.size();
  }

  /** Returns the number of slots, with those that are free. */
  int slotCount() {
    return slots.size();
  }

  /** Returns the item in a slot, or null if the slot is free. */
  T at(int slot) {
    return slots.get(slot);
  }

  void forEach(Consumer<T> action) {
    for (int i = 0; i < slots.size(); i++) {
      if (slots.get(i) != null) {
        action.accept(slots.get(i));
      }
    }
  }
}
