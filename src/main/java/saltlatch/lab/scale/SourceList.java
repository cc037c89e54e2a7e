package saltlatch.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The list that a stand-in of discovery tells: so many app servers, one of which changes at a time
 * from {@code Ready} to {@code Terminating} or back, and a log of which changed at which index.
 * Pure: no clock, no I/O, one seeded generator. An entry's text is the protocol page's example,
 * about 125 bytes.
 */
public final class SourceList {
  // an entry's group is its service, as at the size that is coming
  static final int SERVICES = 2_200;
  static final int LOG = 65_536; // changes kept for watchers that resume; two hours at 8 a second
  private static final int FIRST_INDEX = 1;
  private static final int ZONES = 9; // a to i
  private static final int OCTET = 256;
  private static final int PORT = 6379;
  // odd, so that no two numbers below 2^32 get one name
  private static final long NAME_STEP = 0x9E3779B1L;

  private final boolean[] draining;
  // the entry that changed at an index, by the index modulo LOG
  private final int[] changed = new int[LOG];
  private final SplittableRandom chance;
  private final long series; // Unix ms; 0: not told
  private long index = FIRST_INDEX;

  /**
   * @param entries app servers
   * @param seed    of the choice of what changes
   * @param series  the list's identity as Unix ms, told in each message; 0: none is told
   */
  public SourceList(int entries, long seed, long series) {
    if (entries < 1) throw new IllegalArgumentException("a list wants an entry");
    draining = new boolean[entries];
    chance = new SplittableRandom(seed);
    this.series = series;
  }

  /** Grows by one with each change. */
  public long index() {
    return index;
  }

  /** App servers in the list. */
  public int entries() {
    return draining.length;
  }

  /** Changes one entry, drawn from the seed; returns the new index. */
  public long nextChange() {
    int entry = chance.nextInt(draining.length);
    draining[entry] = !draining[entry];
    index++;
    changed[(int) (index % LOG)] = entry;
    return index;
  }

  /**
   * Whether {@link #changesAfter} can answer: the index was reached, and the log still holds all
   * that came after it.
   */
  public boolean hasChangesSince(long since) {
    return since >= FIRST_INDEX && since <= index && index - since <= LOG;
  }

  /**
   * What changed after an index that {@link #hasChangesSince} holds for, each entry once in its
   * state now.
   */
  public String changesAfter(long since) {
    if (!hasChangesSince(since))
      throw new IllegalArgumentException("no changes are known after " + since);
    LinkedHashSet<Integer> entries = new LinkedHashSet<>();
    for (long at = since + 1; at <= index; at++) entries.add(changed[(int) (at % LOG)]);
    return message(false, List.copyOf(entries));
  }

  /** Every entry. */
  public String snapshot() {
    List<Integer> all = new ArrayList<>();
    for (int entry = 0; entry < draining.length; entry++) all.add(entry);
    return message(true, all);
  }

  private String message(boolean snapshot, List<Integer> entries) {
    StringBuilder text = new StringBuilder(128 * (entries.size() + 1));
    text.append("{\"index\":").append(index);
    if (series != 0) text.append(",\"series\":").append(series);
    text.append(",\"snapshot\":").append(snapshot).append(",\"endpoints\":[");
    String separator = "";
    for (int entry : entries) {
      text.append(separator);
      entry(text, entry);
      separator = ",";
    }
    return text.append("]}").toString();
  }

  private void entry(StringBuilder text, int entry) {
    long name = (entry * NAME_STEP) & 0xffffffffL;
    String hex = Long.toHexString(name | 1L << 32).substring(1);
    text.append("{\"name\":\"s-").append(hex).append("\",\"address\":\"127.1.")
        .append(entry / OCTET % OCTET).append('.').append(entry % OCTET).append(':')
        .append(PORT + entry / OCTET / OCTET).append("\",\"zone\":\"")
        .append((char) ('a' + entry % ZONES)).append("\",\"type\":\"m2\",\"group\":")
        .append(entry % SERVICES).append(",\"status\":\"")
        .append(draining[entry] ? "Terminating" : "Ready")
        .append("\",\"weight\":1.0,\"since_ms\":0}");
  }
}
