package saltlatch.lab.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;

/**
 * Numbers as the page shows them: three significant digits, whole numbers below 10,000 in full,
 * thousands apart; no locale.
 */
final class Numbers {
  // more would claim more than is known
  private static final MathContext SHOWN = new MathContext(3, RoundingMode.HALF_EVEN);
  // below it a whole number is shown with all its digits
  private static final double WHOLE = 10_000;
  private static final int GROUP = 3;

  private Numbers() {}

  /** A value to three significant digits. */
  static String format(double value) {
    if (!Double.isFinite(value))
      throw new IllegalArgumentException("not a number to show: " + value);
    if (value == 0) return "0";
    boolean whole = Math.abs(value) < WHOLE && value == Math.rint(value);
    BigDecimal rounded = whole ? BigDecimal.valueOf((long) value)
        : new BigDecimal(value).round(SHOWN);
    return grouped(rounded.stripTrailingZeros().toPlainString());
  }

  /** A value and its standard error, where it has one. */
  static String withError(double value, double error) {
    return error == 0 ? format(value) : format(value) + " ± " + format(error);
  }

  /** A value given as such, every digit of it. */
  static String unrounded(double value) {
    if (value == 0) return "0";
    return grouped(BigDecimal.valueOf(value).stripTrailingZeros().toPlainString());
  }

  private static String grouped(String plain) {
    String sign = plain.startsWith("-") ? "-" : "";
    String digits = plain.substring(sign.length());
    int point = digits.indexOf('.');
    StringBuilder whole = new StringBuilder(point < 0 ? digits : digits.substring(0, point));
    for (int i = whole.length() - GROUP; i > 0; i -= GROUP) whole.insert(i, ',');
    return sign + whole + (point < 0 ? "" : digits.substring(point));
  }
}
