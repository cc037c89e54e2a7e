package saltlatch.configuration;

/**
 * Identifies a shared configuration. Versions are ordered by epoch, then by number.
 *
 * @param epoch  chosen by the operators; a new epoch ends the locks of the previous one
 * @param number assigned by the quorum, from 1 in each epoch
 */
public record ConfigurationVersion(long epoch,
    long number) implements Comparable<ConfigurationVersion> {
  private static final int MAX_QUOTED_CHARS = 80;

  /** Represents the absence of a configuration; older than all other versions. */
  public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

  @Override
  public int compareTo(ConfigurationVersion other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(number, other.number);
  }

  /** Returns whether this version is newer than the other. */
  public boolean isAfter(ConfigurationVersion other) {
    return compareTo(other) > 0;
  }

  /** Returns {@code EPOCH.NUMBER}, the form used in messages between nodes and for people. */
  @Override
  public String toString() {
    return epoch + "." + number;
  }

  /**
   * Parses the form that {@link #toString} returns.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static ConfigurationVersion parse(String text) {
    int dot = text.indexOf('.');
    if (dot <= 0) {
      throw new IllegalArgumentException("expected a version EPOCH.NUMBER, found "
          + text.substring(0, Math.min(text.length(), MAX_QUOTED_CHARS)));
    }
    return new ConfigurationVersion(Long.parseLong(text.substring(0, dot)),
        Long.parseLong(text.substring(dot + 1)));
  }
}
