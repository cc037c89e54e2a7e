package saltlatch.lab.check;

import java.util.List;

/** Something that must hold of every history. */
public interface Property {
  /** What was broken, and the lines that prove it. */
  record Violation(String property, String what, List<HistoryEvent> evidence) {}

  String name();

  /** The history is in order of time; empty if the property holds. */
  List<Violation> check(List<HistoryEvent> history);

  /** A violation of this property. */
  default Violation violation(String what, HistoryEvent... evidence) {
    return new Violation(name(), what, List.of(evidence));
  }
}
