package saltlatch.distribution;

/**
 * One named entry of the endpoint list, as its source encoded it: a JSON object on one line,
 * forwarded unchanged so that unrecognized fields are preserved.
 *
 * @param name    the entry's name, unique within the list
 * @param removed whether the entry was removed from the list; removed entries are kept in the
 *     change log so that watchers receive the removal
 * @param json    the entry's JSON object, without line breaks. If the entry was removed because a
 *     snapshot did not contain it, this is the object last received, so that all fields are
 *     present; the host marks it as removed when it encodes the entry
 */
public record Entry(String name, boolean removed, String json) {
  /** Returns this entry marked as removed. */
  Entry asRemoved() {
    return new Entry(name, true, json);
  }
}
