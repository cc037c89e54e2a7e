package saltlatch.state;

import java.util.TreeMap;

/** What the node has taken in, sent and answered since its start. */
public final class Counters {
  private final TreeMap<String, long[]> all = new TreeMap<>();

  public void add(String name) {
    all.computeIfAbsent(name, k -> new long[1])[0]++;
  }

  public String text() {
    StringBuilder out = new StringBuilder();
    all.forEach((name, n) -> out.append(name).append('=').append(n[0]).append(' '));
    return out.toString().trim();
  }
}
