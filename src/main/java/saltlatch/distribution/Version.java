package saltlatch.distribution;

/**
 * Position in a list's history. Within a series the index only increases. A later series supersedes
 * an earlier one regardless of the indexes, and data of two series is never combined.
 *
 * @param series identifies one continuous numbering: the Unix time in ms at which its source
 *     started it, or 0 if the source names no series
 * @param index  the position within the series
 */
public record Version(long series, long index) implements Comparable<Version> {
  /** The version before all others; watchers that hold no list start from it. */
  public static final Version NONE = new Version(0, 0);

  @Override
  public int compareTo(Version other) {
    int bySeries = Long.compare(series, other.series);
    return bySeries != 0 ? bySeries : Long.compare(index, other.index);
  }
}
