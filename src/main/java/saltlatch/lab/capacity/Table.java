package saltlatch.lab.capacity;

import java.util.List;

/**
 * A table of the page.
 *
 * @param name    as in the page's markers
 * @param columns headings
 * @param rows    cells of each row, as many as columns
 */
public record Table(String name, List<String> columns, List<List<String>> rows) {

  /** In Markdown, one line a row. */
  public String markdown() {
    StringBuilder text = new StringBuilder();
    line(text, columns);
    line(text, columns.stream().map(column -> "---").toList());
    for (List<String> row : rows) {
      if (row.size() != columns.size()) throw new IllegalStateException(name + ": cells " + row);
      line(text, row);
    }
    return text.toString();
  }

  private static void line(StringBuilder text, List<String> cells) {
    text.append("| ").append(String.join(" | ", cells)).append(" |\n");
  }
}
