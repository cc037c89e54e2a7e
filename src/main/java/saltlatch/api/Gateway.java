package saltlatch.api;

import java.util.List;

/** One instance of the decision module: it is handed what happened and emits through its {@link Actions}. */
public interface Gateway {
  /** Events of one instant, in order of arrival; {@code now} is the common clock in tenths of a ms. */
  void handle(long now, List<Event> events);

  /** Starts an instance; a list event of kind CACHED follows in the first batch. */
  interface Maker {
    Gateway start(long now, Site site, Actions out);
  }
}
