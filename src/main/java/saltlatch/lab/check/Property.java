package saltlatch.lab.check;

import java.util.List;

/** Something that must hold of every history. */
public interface Property {
  /** What was broken, and the lines that prove it. */
  record Violation(String property, String what, List<Line> proof) {}

  String name();

  /** The history is in order of time; empty if the property holds. */
  List<Violation> check(List<Line> history);

  /** A violation of this property. */
  default Violation broken(String what, Line... proof) {
    return new Violation(name(), what, List.of(proof));
  }
}
