package saltlatch.lab.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The page's text: prose by hand, and tables between {@code <!-- table:NAME -->} and
 * {@code <!-- end:NAME -->}.
 */
public final class CapacityPage {
  private static final Pattern PLACE = Pattern
      .compile("<!-- table:([a-z-]+) -->\n(.*?)<!-- end:\\1 -->", Pattern.DOTALL);

  private CapacityPage() {}

  /** A page whose markers don't fit the tables; the message names the table. */
  public static final class PageMismatchException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    PageMismatchException(String message) {
      super(message);
    }
  }

  /**
   * The page with these tables in their places; each has one place and each place one table, or
   * {@link PageMismatchException}.
   */
  public static String withTables(String page, List<Table> tables) {
    Map<String, Table> left = new LinkedHashMap<>();
    for (Table table : tables) left.put(table.name(), table);
    Matcher place = PLACE.matcher(page);
    StringBuilder text = new StringBuilder();
    while (place.find()) {
      Table table = left.remove(place.group(1));
      if (table == null) throw new PageMismatchException(
          "table:" + place.group(1) + ": no such table, or placed twice");
      place.appendReplacement(text, Matcher.quoteReplacement(placed(table)));
    }
    place.appendTail(text);
    if (!left.isEmpty()) throw new PageMismatchException(
        "table:" + left.keySet().iterator().next() + ": the page has no place");
    return text.toString();
  }

  /** Tables whose text on the page is another than these would give. */
  public static List<String> outdatedTables(String page, List<Table> tables) {
    withTables(page, tables);
    Map<String, String> there = new TreeMap<>();
    Matcher place = PLACE.matcher(page);
    while (place.find()) there.put(place.group(1), place.group());
    return tables.stream().filter(table -> !placed(table).equals(there.get(table.name())))
        .map(Table::name).toList();
  }

  /** The page without its generated tables. */
  public static String prose(String page) {
    return PLACE.matcher(page).replaceAll("");
  }

  private static String placed(Table table) {
    return "<!-- table:" + table.name() + " -->\n" + table.markdown() + "<!-- end:" + table.name()
        + " -->";
  }
}
