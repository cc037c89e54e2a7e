package saltlatch.distribution;

/**
 * One named entry of the list, as its source encoded it: a JSON object on one line, passed on unchanged so that fields this
 * program does not know survive.
 *
 * @param removed the entry is gone from the list; kept in the log so that watchers learn of it
 * @param json    the entry's JSON object, without line breaks
 */
public record Entry(String name, boolean removed, String json) {}
