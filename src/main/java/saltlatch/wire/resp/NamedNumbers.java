package saltlatch.wire.resp;

/**
 * Figures by name in one text, {@code NAME=NUMBER,NAME=NUMBER}: the form of load reports and of
 * figures on use. Has no state.
 */
public final class NamedNumbers {
  /** No count in the protocol comes to as much. */
  private static final double LIMIT = 1e9;

  private NamedNumbers() {}

  /** The figure of that name; 0, which says nothing, if there is none or it is out of range. */
  public static double find(String text, String name) {
    String prefix = name + "=";
    for (String part : text.split(",", -1)) {
      if (part.startsWith(prefix))
        return inRange(DecimalCodec.parse(part.substring(prefix.length())));
    }
    return 0;
  }

  private static double inRange(double figure) {
    return figure >= 0 && figure < LIMIT ? figure : 0;
  }
}
