package saltlatch.configuration;

/**
 * Which rule set: the epoch goes before the number. Numbers are the keepers' to give, epochs the
 * operators'.
 */
public record ConfigurationVersion(long epoch,
    long number) implements Comparable<ConfigurationVersion> {
  public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

  @Override
  public int compareTo(ConfigurationVersion o) {
    int byEpoch = Long.compare(epoch, o.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(number, o.number);
  }

  public boolean isAfter(ConfigurationVersion o) {
    return compareTo(o) > 0;
  }

  /** As people and the wire write it. */
  @Override
  public String toString() {
    return epoch + "." + number;
  }

  public static ConfigurationVersion of(String text) {
    int dot = text.indexOf('.');
    if (dot <= 0) throw new IllegalArgumentException("a version is EPOCH.NUMBER, not " + text);
    return new ConfigurationVersion(Long.parseLong(text.substring(0, dot)),
        Long.parseLong(text.substring(dot + 1)));
  }
}
