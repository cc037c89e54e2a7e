package saltlatch.lab.scenario;

import java.util.Set;
import java.util.TreeSet;

/**
 * A group of endpoints as a scenario names it: {@code n0-2,n5} (edge nodes), {@code s3} (app
 * servers), {@code nodes}, {@code servers}, {@code counter}, {@code discovery}, {@code clients}, in
 * any mixture.
 */
public final class Group {
  private static final Set<String> WHOLE = Set.of("nodes", "servers", "counter", "discovery",
      "clients");
  private final Set<String> names = new TreeSet<>();

  private Group() {}

  /** Throws {@link IllegalArgumentException} for a word that names nothing. */
  public static Group of(String text) {
    Group g = new Group();
    for (String word : text == null ? new String[0] : text.trim().split("\\s*,\\s*")) {
      if (WHOLE.contains(word)) {
        g.names.add(word);
        continue;
      }
      if (!word.matches("[ns]\\d{1,4}(-\\d{1,4})?"))
        throw new IllegalArgumentException("group: what is " + word);
      String[] ends = word.substring(1).split("-", 0);
      for (int i = Integer.parseInt(ends[0]); i <= Integer.parseInt(ends[ends.length - 1]); i++) {
        g.names.add(word.charAt(0) + "" + i);
      }
    }
    return g;
  }

  /**
   * Whether it holds the endpoint {@code n3}, {@code s7}, {@code counter}, {@code discovery} or
   * {@code clients}.
   */
  public boolean holds(String endpoint) {
    if (names.contains(endpoint)) return true;
    boolean numbered = endpoint.matches("[ns]\\d+");
    return numbered && names.contains(endpoint.charAt(0) == 'n' ? "nodes" : "servers");
  }

  /** The numbers of the edge nodes in it, of {@code nodes} in all, in order. */
  public java.util.List<Integer> nodes(int nodes) {
    return java.util.stream.IntStream.range(0, nodes).filter(i -> holds("n" + i)).boxed().toList();
  }
}
