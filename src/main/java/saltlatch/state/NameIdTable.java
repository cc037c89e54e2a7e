package saltlatch.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * Assigns small numbers to names, always the lowest one that is free, and frees a number once its
 * name is released. Owned by the event loop.
 */
public final class NameIdTable {
  private final Map<String, Integer> numbers = new HashMap<>();
  private final List<String> names = new ArrayList<>(); // by number; null: free
  private int lowestFree; // no number below it is free

  /** Starts with no names. */
  public NameIdTable() {}

  /** Starts with these names, numbered in their order; a repeated one keeps its first number. */
  public NameIdTable(List<String> known) {
    known.forEach(this::assign);
  }

  /** The number of a name; below 0 if it has none. */
  public int find(String name) {
    return numbers.getOrDefault(name, -1);
  }

  /** The name that has this number, or null. */
  public String name(int number) {
    return number >= 0 && number < names.size() ? names.get(number) : null;
  }

  /** The number of a name, which gets one if it has none. */
  public int assign(String name) {
    Integer known = numbers.get(name);
    if (known != null) return known;
    while (lowestFree < names.size() && names.get(lowestFree) != null) lowestFree++;
    if (lowestFree == names.size()) names.add(null);
    names.set(lowestFree, name);
    numbers.put(name, lowestFree);
    return lowestFree;
  }

  /** How many names have a number. */
  public int size() {
    return numbers.size();
  }

  /** Calls {@code action} with each number in use, in ascending order. */
  public void forEachNumber(IntConsumer action) {
    for (int number = 0; number < names.size(); number++) {
      if (names.get(number) != null) action.accept(number);
    }
  }

  /** Frees a number that is in use. */
  public void release(int number) {
    numbers.remove(names.get(number));
    names.set(number, null);
    lowestFree = Math.min(lowestFree, number);
  }
}
