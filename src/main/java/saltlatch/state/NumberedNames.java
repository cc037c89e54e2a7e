package saltlatch.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;

/** Gives names small numbers, and a number free again once its name is released. */
public final class NumberedNames {
  private final Map<String, Integer> numbers = new HashMap<>();
  private final List<String> names = new ArrayList<>();
  private int lowestFree;

  public NumberedNames() {}

  public NumberedNames(List<String> known) {
    known.forEach(this::number);
  }

  /** Below 0: not known. */
  public int find(String name) {
    return numbers.getOrDefault(name, -1);
  }

  /** The name that has this number, or null. */
  public String name(int number) {
    return number >= 0 && number < names.size() ? names.get(number) : null;
  }

  public int number(String name) {
    Integer known = numbers.get(name);
    if (known != null) return known;
    while (lowestFree < names.size() && names.get(lowestFree) != null) lowestFree++;
    if (lowestFree == names.size()) names.add(null);
    names.set(lowestFree, name);
    numbers.put(name, lowestFree);
    return lowestFree;
  }

  /** How many names are known. */
  public int size() {
    return numbers.size();
  }

  /** Walks the numbers in use. */
  public void each(IntConsumer use) {
    for (int i = 0; i < names.size(); i++) {
      if (names.get(i) != null) use.accept(i);
    }
  }

  public void release(int number) {
    numbers.remove(names.get(number));
    names.set(number, null);
    lowestFree = Math.min(lowestFree, number);
  }
}
