package saltlatch.lab.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;

/**
 * Formats numbers for the page, independently of the locale: three significant digits, whole
 * numbers below 10,000 with all digits, and a comma between groups of thousands.
 */
final class Numbers {
  // more digits would suggest more precision than the measurements have
  private static final MathContext SIGNIFICANT_DIGITS = new MathContext(3, RoundingMode.HALF_EVEN);
  // whole numbers below this value are shown with all digits
  private static final double FULL_DIGITS_BELOW = 10_000;
  private static final int DIGITS_PER_GROUP = 3;

  private Numbers() {}

  /** Formats a value with three significant digits. */
  static String format(double value) {
    if (!Double.isFinite(value))
      throw new IllegalArgumentException("expected a finite number, found " + value);
    if (value == 0) return "0";
    boolean wholeNumber = Math.abs(value) < FULL_DIGITS_BELOW && value == Math.rint(value);
    BigDecimal rounded = wholeNumber ? BigDecimal.valueOf((long) value)
        : new BigDecimal(value).round(SIGNIFICANT_DIGITS);
    return grouped(rounded.stripTrailingZeros().toPlainString());
  }

  /** Formats a value and, if it is not 0, its standard error. */
  static String withError(double value, double error) {
    return error == 0 ? format(value) : format(value) + " ± " + format(error);
  }

  /** Formats an input value with all of its digits. */
  static String unrounded(double value) {
    if (value == 0) return "0";
    return grouped(BigDecimal.valueOf(value).stripTrailingZeros().toPlainString());
  }

  private static String grouped(String plain) {
    String sign = plain.startsWith("-") ? "-" : "";
    String digits = plain.substring(sign.length());
    int point = digits.indexOf('.');
    StringBuilder wholePart = new StringBuilder(point < 0 ? digits : digits.substring(0, point));
    for (int i = wholePart.length() - DIGITS_PER_GROUP; i > 0; i -= DIGITS_PER_GROUP)
      wholePart.insert(i, ',');
    return sign + wholePart + (point < 0 ? "" : digits.substring(point));
  }
}
