package saltlatch.lab.scale;

import java.util.List;
import java.util.Locale;

/** Formats the page with the results of a {@link HollowComparison}. */
public final class HollowTable {
  private static final double PERCENT = 100;

  private HollowTable() {}

  /** Returns the page as Markdown, including the revision that was measured. */
  public static String of(List<HollowComparison.Row> rows) {
    StringBuilder page = new StringBuilder("# Hollow nodes against real ones\n\n");
    page.append("Written by `saltlatch lab hollow compare` at ").append(Revision.here())
        .append("; loopback. As many of each, one kind after the\n")
        .append(
            "other, under a source of 2,000 app servers, nodes knowing each other. Values are of one node; the\n")
        .append(
            "watch's are the source's count, datagrams the nodes' own. Bytes and messages may differ by 10 %;\n")
        .append("CPU and RSS are told beside them: hollow ones share one JVM.\n\n")
        .append("| nodes | of one node | real | hollow | difference | within 10 % |\n")
        .append("| --- | --- | --- | --- | --- | --- |\n");
    for (HollowComparison.Row row : rows) {
      page.append(String.format(Locale.ROOT, "| %d | %s | %s | %s | %+.1f %% | %s |%n", row.nodes(),
          row.quantity(), ScaleTable.number(row.real()), ScaleTable.number(row.hollow()),
          PERCENT * row.difference(),
          !row.limited() ? "not asked" : row.passed() ? "yes" : "**no**"));
    }
    return page.toString();
  }
}
