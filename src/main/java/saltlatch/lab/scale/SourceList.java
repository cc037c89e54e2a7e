package saltlatch.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The endpoint list of a simulated discovery server, with a log of the changed entry for each
 * index. Each change moves one app server from {@code Ready} to {@code Terminating} or back. It
 * uses no clock or I/O and one seeded random generator. An entry's text has the form of the
 * protocol page's example, about 125 bytes.
 */
public final class SourceList {
  // an entry's group is its service; as many services as at the expected size
  static final int SERVICES = 2_200;
  static final int LOG = 65_536; // changes that a watcher can resume from; two hours at 8 a second
  private static final int FIRST_INDEX = 1;
  private static final int ZONES = 9; // a to i
  private static final int OCTET = 256;
  private static final int PORT = 6379;
  // odd, so that no two numbers below 2^32 have the same name
  private static final long NAME_STEP = 0x9E3779B1L;

  private final boolean[] draining;
  // the entry that changed at an index, by the index modulo LOG
  private final int[] changed = new int[LOG];
  private final SplittableRandom random;
  private final long series; // Unix ms, or 0 to leave it out
  private long index = FIRST_INDEX;

  /**
   * Creates a list whose entries are all ready.
   *
   * @param entries number of app servers
   * @param seed    seed of the random choice of the entry that changes
   * @param series  identity of the list as Unix ms, which each message contains, or 0 for none
   */
  public SourceList(int entries, long seed, long series) {
    if (entries < 1)
      throw new IllegalArgumentException("a list requires at least 1 entry, found " + entries);
    draining = new boolean[entries];
    random = new SplittableRandom(seed);
    this.series = series;
  }

  /** Returns the current index, which increases by one with each change. */
  public long index() {
    return index;
  }

  /** Returns the number of app servers in the list. */
  public int entries() {
    return draining.length;
  }

  /** Changes one entry, chosen at random; returns the new index. */
  public long nextChange() {
    int entry = random.nextInt(draining.length);
    draining[entry] = !draining[entry];
    index++;
    changed[(int) (index % LOG)] = entry;
    return index;
  }

  /**
   * Returns whether {@link #changesAfter} supports this index: it is not above the current one, and
   * the log still contains all later changes.
   */
  public boolean hasChangesSince(long since) {
    return since >= FIRST_INDEX && since <= index && index - since <= LOG;
  }

  /**
   * Returns a message with the entries that changed after an index, each once in its current state.
   * {@link #hasChangesSince} must hold for the index.
   */
  public String changesAfter(long since) {
    if (!hasChangesSince(since)) throw new IllegalArgumentException(
        "expected an index in the log, which ends at " + index + ", found " + since);
    LinkedHashSet<Integer> entries = new LinkedHashSet<>();
    for (long at = since + 1; at <= index; at++) entries.add(changed[(int) (at % LOG)]);
    return message(false, List.copyOf(entries));
  }

  /** Returns a message with all entries. */
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
