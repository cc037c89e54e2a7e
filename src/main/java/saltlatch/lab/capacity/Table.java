package saltlatch.lab.capacity;

import java.util.List;

/**
 * A table of the capacity page.
 *
 * @param name    name in the page's markers
 * @param columns headings of the columns
 * @param rows    cells of each row, as many as there are columns
 */
public record Table(String name, List<String> columns, List<List<String>> rows) {

  /** Returns the table in Markdown, with one line for each row. */
  public String markdown() {
    StringBuilder text = new StringBuilder();
    appendLine(text, columns);
    appendLine(text, columns.stream().map(column -> "---").toList());
    for (List<String> row : rows) {
      if (row.size() != columns.size()) throw new IllegalStateException(
          name + ": expected " + columns.size() + " cells, found " + row.size() + ": " + row);
      appendLine(text, row);
    }
    return text.toString();
  }

  private static void appendLine(StringBuilder text, List<String> cells) {
    text.append("| ").append(String.join(" | ", cells)).append(" |\n");
  }
}
