package saltlatch.lab.scenario;

import java.util.Set;
import java.util.TreeSet;

/**
 * A group of endpoints, written in a scenario as a comma-separated list of {@code n0-2} or
 * {@code n5} (edge nodes), {@code s3} (app servers), {@code nodes}, {@code servers},
 * {@code counter}, {@code discovery} and {@code clients}.
 */
public final class Group {
  private static final Set<String> KEYWORDS = Set.of("nodes", "servers", "counter", "discovery",
      "clients");
  private final Set<String> names = new TreeSet<>();

  private Group() {}

  /**
   * Parses a list of endpoints. Throws {@link IllegalArgumentException} if a word of the list is
   * not a valid endpoint or range.
   */
  public static Group of(String text) {
    Group group = new Group();
    for (String word : text == null ? new String[0] : text.trim().split("\\s*,\\s*")) {
      if (KEYWORDS.contains(word)) {
        group.names.add(word);
        continue;
      }
      if (!word.matches("[ns]\\d{1,4}(-\\d{1,4})?"))
        throw new IllegalArgumentException("group: expected one of " + new TreeSet<>(KEYWORDS)
            + " or endpoints such as n5, n0-2 or s3, found " + Scenario.quote(word));
      String[] bounds = word.substring(1).split("-", 0);
      for (int i = Integer.parseInt(bounds[0]); i <= Integer
          .parseInt(bounds[bounds.length - 1]); i++) {
        group.names.add(word.charAt(0) + "" + i);
      }
    }
    return group;
  }

  /**
   * Returns whether the group contains the endpoint, which is a node such as {@code n3}, an app
   * server such as {@code s7}, {@code counter}, {@code discovery} or {@code clients}.
   */
  public boolean holds(String endpoint) {
    if (names.contains(endpoint)) return true;
    boolean numbered = endpoint.matches("[ns]\\d+");
    return numbered && names.contains(endpoint.charAt(0) == 'n' ? "nodes" : "servers");
  }

  /** Returns the numbers of the group's edge nodes below {@code nodeCount}, in order. */
  public java.util.List<Integer> nodes(int nodeCount) {
    return java.util.stream.IntStream.range(0, nodeCount).filter(node -> holds("n" + node)).boxed()
        .toList();
  }
}
