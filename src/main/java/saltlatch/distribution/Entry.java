package saltlatch.distribution;

/**
 * One named entry of the list, as its source encoded it: a JSON object on one line, passed on unchanged so that fields this
 * program does not know survive.
 *
 * @param removed the entry is gone from the list; kept in the log so that watchers learn of it
 * @param json    the entry's JSON object, without line breaks; empty for a removed entry that no source worded (it was
 *                missing in a whole list): the host words it
 */
public record Entry(String name, boolean removed, String json) {
  /** An entry found to be gone by comparing whole lists, which no source has worded. */
  static Entry removed(String name) {
    return new Entry(name, true, "");
  }
}
