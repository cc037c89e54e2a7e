package saltlatch.distribution;

/**
 * Position in a list's history. A series is the identity of one unbroken numbering and is the Unix
 * time in ms at which its source began it (0: the source names none); within a series the index
 * only grows. A later series supersedes an earlier one whatever the indexes are, and the two are
 * never combined.
 */
public record Version(long series, long index) implements Comparable<Version> {
  /** Before everything: what a watcher that holds no list asks from. */
  public static final Version NONE = new Version(0, 0);

  @Override
  public int compareTo(Version other) {
    int bySeries = Long.compare(series, other.series);
    return bySeries != 0 ? bySeries : Long.compare(index, other.index);
  }
}
