package saltlatch.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/**
 * Assigns each name the lowest free number, from 0. A number becomes free when it is released.
 * Owned by the event loop.
 */
public final class NameIdTable {
  private final Map<String, Integer> numbers = new HashMap<>();
  private final List<String> names = new ArrayList<>(); // by number; null if the number is free
  private int lowestFree; // all numbers below are in use

  /** Creates an empty table. */
  public NameIdTable() {}

  /**
   * Creates a table of these names, numbered in their order; a repeated name keeps its first
   * number.
   */
  public NameIdTable(List<String> initialNames) {
    initialNames.forEach(this::assign);
  }

  /** Returns the number of a name, or -1 if it has none. */
  public int find(String name) {
    return numbers.getOrDefault(name, -1);
  }

  /** Returns the name that has this number, or null if the number is free. */
  public String name(int number) {
    return number >= 0 && number < names.size() ? names.get(number) : null;
  }

  /** Returns the number of a name, and assigns one first if it has none. */
  public int assign(String name) {
    Integer assigned = numbers.get(name);
    if (assigned != null) return assigned;
    while (lowestFree < names.size() && names.get(lowestFree) != null) lowestFree++;
    if (lowestFree == names.size()) names.add(null);
    names.set(lowestFree, name);
    numbers.put(name, lowestFree);
    return lowestFree;
  }

  /** Returns the number of names in the table. */
  public int size() {
    return numbers.size();
  }

  /** Calls {@code action} with each number in use, in ascending order. */
  public void forEachNumber(IntConsumer action) {
    for (int number = 0; number < names.size(); number++) {
      if (names.get(number) != null) action.accept(number);
    }
  }

  /** Removes the name of a number, which must be in use, and frees the number. */
  public void release(int number) {
    numbers.remove(names.get(number));
    names.set(number, null);
    lowestFree = Math.min(lowestFree, number);
  }
}
