package saltlatch.distribution;

/**
 * One named entry of the list, as its source encoded it: a JSON object on one line, forwarded
 * unchanged so that fields this program does not know survive.
 *
 * @param removed the entry is gone from the list; kept in the log so that watchers learn of it
 * @param json    the entry's JSON object, without line breaks. For a removed entry that was only
 *     missing in a whole list it is the last that was received of it, so that all its fields are
 *     there; the host words that it is gone
 */
public record Entry(String name, boolean removed, String json) {
  /** This entry as gone from the list. */
  Entry asRemoved() {
    return new Entry(name, true, json);
  }
}
