package saltlatch.wire.resp;

/** Plain decimal numbers, as the protocol has them: to text and back. */
public final class DecimalFormat {
  private DecimalFormat() {}

  /**
   * Not a number for what can't be read; Java's own reader takes names, hexadecimals and suffixes
   * as well.
   */
  public static double parse(String text) {
    boolean plain = !text.isEmpty();
    for (int i = 0; i < text.length(); i++) plain &= "0123456789.-+eE".indexOf(text.charAt(i)) >= 0;
    try {
      double value = plain ? Double.parseDouble(text) : Double.NaN;
      return Double.isInfinite(value) ? Double.NaN : value;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /** Digits alone, no more than a long holds with ease; below 0 for anything else. */
  public static long parseWhole(String text) {
    boolean digits = !text.isEmpty() && text.length() <= 15;
    for (int i = 0; i < text.length(); i++)
      digits &= text.charAt(i) >= '0' && text.charAt(i) <= '9';
    return digits ? Long.parseLong(text) : -1;
  }

  /** Four places at most: totals come to seven digits. */
  public static String format(double units) {
    long scaled = Math.round(Math.abs(units) * 10_000);
    String sign = units < 0 && scaled > 0 ? "-" : "";
    long rest = scaled % 10_000;
    return sign + scaled / 10_000
        + (rest == 0 ? "" : "." + Long.toString(10_000 + rest).substring(1));
  }
}
