package saltlatch.lab.check;

import java.util.List;

/** A property that the history of every run must have. */
public interface Property {
  /** A violation of a property, with the events that prove it. */
  record Violation(String property, String what, List<HistoryEvent> evidence) {}

  /** Returns the property's name in run files and reports. */
  String name();

  /**
   * Returns the property's violations, or an empty list if it holds.
   *
   * @param history events ordered by time
   */
  List<Violation> check(List<HistoryEvent> history);

  /** Returns a violation of this property. */
  default Violation violation(String what, HistoryEvent... evidence) {
    return new Violation(name(), what, List.of(evidence));
  }
}
