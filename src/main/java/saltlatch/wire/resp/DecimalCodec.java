package saltlatch.wire.resp;

/** Plain decimal numbers, as the protocol has them: to text and back. Has no state. */
public final class DecimalCodec {
  private static final String DECIMAL_CHARACTERS = "0123456789.-+eE";
  /** Fits a long with room to spare. */
  private static final int MAX_WHOLE_DIGITS = 15;
  /** Four decimal places: totals come to seven digits. */
  private static final long SCALE = 10_000;

  private DecimalCodec() {}

  /**
   * Reads a decimal number; not a number ({@code NaN}) for what is none, or is infinite. Guards
   * against texts that the protocol does not know and Java's own reader takes: names, hexadecimal
   * numbers, suffixes, spaces.
   */
  public static double parse(String text) {
    if (!consistsOf(text, DECIMAL_CHARACTERS)) return Double.NaN;
    try {
      double value = Double.parseDouble(text);
      return Double.isInfinite(value) ? Double.NaN : value;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /** Reads a number of 1 to 15 digits and nothing else; -1 for any other text. */
  public static long parseDigits(String text) {
    boolean isWhole = text.length() <= MAX_WHOLE_DIGITS && consistsOf(text, "0123456789");
    return isWhole ? Long.parseLong(text) : -1;
  }

  private static boolean consistsOf(String text, String characters) {
    for (int i = 0; i < text.length(); i++) {
      if (characters.indexOf(text.charAt(i)) < 0) return false;
    }
    return !text.isEmpty();
  }

  /** Writes a number with four decimal places, or none where it is whole. */
  public static String format(double units) {
    long scaled = Math.round(Math.abs(units) * SCALE);
    String sign = units < 0 && scaled > 0 ? "-" : "";
    long fraction = scaled % SCALE;
    String decimals = fraction == 0 ? "" : "." + Long.toString(SCALE + fraction).substring(1);
    return sign + scaled / SCALE + decimals;
  }
}
