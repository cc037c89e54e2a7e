package saltlatch.rules;

/** Which rule set: the epoch goes before the number. Numbers are the keepers' to give, epochs the operators'. */
public record Version(long epoch, long number) implements Comparable<Version> {
  public static final Version NONE = new Version(0, 0);

  @Override
  public int compareTo(Version o) {
    int byEpoch = Long.compare(epoch, o.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(number, o.number);
  }

  public boolean isAfter(Version o) {
    return compareTo(o) > 0;
  }

  /** As people and the wire write it. */
  @Override
  public String toString() {
    return epoch + "." + number;
  }

  public static Version of(String text) {
    int dot = text.indexOf('.');
    if (dot <= 0) throw new IllegalArgumentException("a version is EPOCH.NUMBER, not " + text);
    return new Version(Long.parseLong(text.substring(0, dot)), Long.parseLong(text.substring(dot + 1)));
  }
}
