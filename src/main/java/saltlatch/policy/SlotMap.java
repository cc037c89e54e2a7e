package saltlatch.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Gives outside ids small indices that are used again once released; walks go by index, never by
 * hash.
 */
public final class SlotMap<T> {
  private final Map<Long, Integer> slotById = new HashMap<>();
  private final List<T> slots = new ArrayList<>();
  private final List<Integer> freeSlots = new ArrayList<>();

  /** Null for an id that is not held. */
  public T find(long id) {
    Integer at = slotById.get(id);
    return at == null ? null : slots.get(at);
  }

  public T put(long id, T item) {
    Integer at = slotById.get(id);
    if (at == null && !freeSlots.isEmpty()) {
      at = freeSlots.remove(freeSlots.size() - 1);
    }
    if (at == null) {
      at = slots.size();
      slots.add(null);
    }
    slotById.put(id, at);
    slots.set(at, item);
    return item;
  }

  public void release(long id) {
    Integer at = slotById.remove(id);
    if (at != null) {
      slots.set(at, null);
      freeSlots.add(at);
    }
  }

  public void forEach(Consumer<T> use) {
    for (int i = 0; i < slots.size(); i++) {
      if (slots.get(i) != null) {
        use.accept(slots.get(i));
      }
    }
  }
}
