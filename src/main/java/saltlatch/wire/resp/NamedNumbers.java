package saltlatch.wire.resp;

/**
 * Finds numbers by name in a text of the form {@code NAME=NUMBER,NAME=NUMBER}, which load reports
 * and usage reports have. Has no state.
 */
public final class NamedNumbers {
  /** Exclusive; every valid number in the protocol is smaller. */
  private static final double LIMIT = 1e9;

  private NamedNumbers() {}

  /** Returns the number with this name; 0, the value for unknown, if it is missing or invalid. */
  public static double find(String text, String name) {
    String prefix = name + "=";
    for (String part : text.split(",", -1)) {
      if (part.startsWith(prefix))
        return zeroIfOutOfRange(DecimalCodec.parse(part.substring(prefix.length())));
    }
    return 0;
  }

  private static double zeroIfOutOfRange(double number) {
    return number >= 0 && number < LIMIT ? number : 0;
  }
}
