package saltlatch.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Formats the table that a scale test prints: for each quantity, the linear regression, its
 * residual, and the predicted and measured values at the largest size.
 */
final class ScaleTable {
  private static final List<String> HEAD = List.of("measured", "quantity", "at size 0",
      "for each more", "residual", "largest size", "predicted", "measured", "off by");
  private static final int PERCENT = 100;

  private ScaleTable() {}

  static String of(List<Slope> slopes) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(HEAD);
    for (Slope slope : slopes) rows.add(row(slope));
    int[] widths = new int[HEAD.size()];
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) widths[i] = Math.max(widths[i], row.get(i).length());
    }
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        String padding = " ".repeat(widths[i] - row.get(i).length());
        text.append(i == 0 ? "" : "  ").append(i < 2 ? row.get(i) + padding : padding + row.get(i));
      }
      text.append('\n');
    }
    return text.toString();
  }

  private static List<String> row(Slope slope) {
    boolean isMeasured = !Double.isNaN(slope.measured());
    return List.of(slope.what(), slope.quantity().name().toLowerCase(Locale.ROOT),
        number(slope.all().intercept()), number(slope.all().slope()),
        number(slope.all().residual()), Long.toString(slope.largest()), number(slope.predicted()),
        isMeasured ? number(slope.measured()) : "-",
        isMeasured && slope.measured() != 0 ? Math.round(slope.error() * PERCENT) + " %" : "-");
  }

  /** Formats a number with four significant digits. */
  static String number(double value) {
    if (value == 0) return "0";
    return new java.math.BigDecimal(value).round(new java.math.MathContext(4)).stripTrailingZeros()
        .toPlainString();
  }
}
