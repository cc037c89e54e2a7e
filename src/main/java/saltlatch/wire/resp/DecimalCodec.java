package saltlatch.wire.resp;

/** Parses and formats decimal numbers as the protocol writes them. Has no state. */
public final class DecimalCodec {
  private static final String DECIMAL_CHARACTERS = "0123456789.-+eE";
  /** Always fits in a long, which holds every number of 18 digits. */
  private static final int MAX_INTEGER_DIGITS = 15;
  /** Four decimal places; totals have up to seven digits. */
  private static final long SCALE = 10_000;

  private DecimalCodec() {}

  /**
   * Parses a decimal number; returns {@code NaN} if the text is not a number or is infinite.
   * Rejects texts that {@link Double#parseDouble} accepts but that the protocol does not define:
   * names such as {@code Infinity}, hexadecimal numbers, type suffixes and spaces.
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

  /** Parses a number of 1 to 15 digits without a sign; returns -1 for any other text. */
  public static long parseDigits(String text) {
    boolean isInteger = text.length() <= MAX_INTEGER_DIGITS && consistsOf(text, "0123456789");
    return isInteger ? Long.parseLong(text) : -1;
  }

  private static boolean consistsOf(String text, String characters) {
    for (int i = 0; i < text.length(); i++) {
      if (characters.indexOf(text.charAt(i)) < 0) return false;
    }
    return !text.isEmpty();
  }

  /** Formats a number with four decimal places, or with none if it is an integer. */
  public static String format(double units) {
    long scaled = Math.round(Math.abs(units) * SCALE);
    String sign = units < 0 && scaled > 0 ? "-" : "";
    long fraction = scaled % SCALE;
    String decimals = fraction == 0 ? "" : "." + Long.toString(SCALE + fraction).substring(1);
    return sign + scaled / SCALE + decimals;
  }
}
