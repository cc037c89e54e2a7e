package saltlatch.configuration;

/**
 * Identifies a shared configuration. Versions are ordered by epoch, then by number.
 *
 * @param epoch  chosen by the operators; a new one lifts the locks of the one before
 * @param number assigned by the quorum, from 1 in each epoch
 */
public record ConfigurationVersion(long epoch,
    long number) implements Comparable<ConfigurationVersion> {
  /** Stands for no configuration at all; before every other version. */
  public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

  @Override
  public int compareTo(ConfigurationVersion other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(number, other.number);
  }

  /** Whether this version is newer than the other. */
  public boolean isAfter(ConfigurationVersion other) {
    return compareTo(other) > 0;
  }

  /** {@code EPOCH.NUMBER}, as people and the wire write it. */
  @Override
  public String toString() {
    return epoch + "." + number;
  }

  /**
   * Reads the form of {@link #toString}.
   *
   * @throws IllegalArgumentException the text has another form
   */
  public static ConfigurationVersion parse(String text) {
    int dot = text.indexOf('.');
    if (dot <= 0) throw new IllegalArgumentException("a version is EPOCH.NUMBER, not " + text);
    return new ConfigurationVersion(Long.parseLong(text.substring(0, dot)),
        Long.parseLong(text.substring(dot + 1)));
  }
}
