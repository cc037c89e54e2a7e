package saltlatch.lab.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The text of the capacity page: handwritten prose, and generated tables between
 * {@code <!-- table:NAME -->} and {@code <!-- end:NAME -->}.
 */
public final class CapacityPage {
  private static final Pattern MARKED_TABLE = Pattern
      .compile("<!-- table:([a-z-]+) -->\n(.*?)<!-- end:\\1 -->", Pattern.DOTALL);

  private CapacityPage() {}

  /** Thrown if the page's markers do not match the tables; the message names the table. */
  public static final class PageMismatchException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    PageMismatchException(String message) {
      super(message);
    }
  }

  /**
   * Returns the page with these tables between their markers.
   *
   * @throws PageMismatchException if a table does not have exactly one pair of markers, or if a
   *     pair of markers has no table
   */
  public static String withTables(String page, List<Table> tables) {
    Map<String, Table> remaining = new LinkedHashMap<>();
    for (Table table : tables) remaining.put(table.name(), table);
    Matcher marked = MARKED_TABLE.matcher(page);
    StringBuilder text = new StringBuilder();
    while (marked.find()) {
      Table table = remaining.remove(marked.group(1));
      if (table == null) throw new PageMismatchException(
          "table:" + marked.group(1) + ": the page has markers for an unknown table"
              + ", or a second pair of markers for this table");
      marked.appendReplacement(text, Matcher.quoteReplacement(withMarkers(table)));
    }
    marked.appendTail(text);
    if (!remaining.isEmpty()) throw new PageMismatchException("table:"
        + remaining.keySet().iterator().next() + ": the page has no markers for this table");
    return text.toString();
  }

  /** Returns the names of the tables whose text on the page differs from the generated text. */
  public static List<String> outdatedTables(String page, List<Table> tables) {
    withTables(page, tables);
    Map<String, String> onPage = new TreeMap<>();
    Matcher marked = MARKED_TABLE.matcher(page);
    while (marked.find()) onPage.put(marked.group(1), marked.group());
    return tables.stream().filter(table -> !withMarkers(table).equals(onPage.get(table.name())))
        .map(Table::name).toList();
  }

  /** Returns the page without its generated tables. */
  public static String prose(String page) {
    return MARKED_TABLE.matcher(page).replaceAll("");
  }

  private static String withMarkers(Table table) {
    return "<!-- table:" + table.name() + " -->\n" + table.markdown() + "<!-- end:" + table.name()
        + " -->";
  }
}
