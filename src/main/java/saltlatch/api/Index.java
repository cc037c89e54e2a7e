package saltlatch.api;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Gives outside ids small indices that are used again once released; walks go by index, never by hash. */
public final class Index<T> {
  private final Map<Long, Integer> places = new HashMap<>();
  private final List<T> items = new ArrayList<>();
  private final List<Integer> free = new ArrayList<>();

  /** Null for an id that is not held. */
  public T find(long id) {
    Integer at = places.get(id);
    return at == null ? null : items.get(at);
  }

  public T put(long id, T item) {
    Integer at = places.get(id);
    if (at == null && !free.isEmpty()) {
      at = free.remove(free.size() - 1);
    }
    if (at == null) {
      at = items.size();
      items.add(null);
    }
    places.put(id, at);
    items.set(at, item);
    return item;
  }

  public void release(long id) {
    Integer at = places.remove(id);
    if (at != null) {
      items.set(at, null);
      free.add(at);
    }
  }

  public void each(Consumer<T> use) {
    for (int i = 0; i < items.size(); i++) {
      if (items.get(i) != null) {
        use.accept(items.get(i));
      }
    }
  }
}
