package saltlatch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltlatch.lab.capacity.CapacityData;
import saltlatch.lab.capacity.CapacityPage;
import saltlatch.lab.capacity.CapacityTables;
import saltlatch.lab.capacity.Table;

/**
 * {@code lab scale report}: writes the tables of docs/CAPACITY.md from the data in docs/capacity.
 * With {@code --check} it writes nothing and ends with exit code 1 if the page differs from the
 * data. Invalid data, or a page without the place for a table, ends with a one-line message and
 * exit code 2.
 */
@Command(name = "report", mixinStandardHelpOptions = true,
    description = "Write the capacity page's tables.")
final class CapacityReportCommand implements Callable<Integer> {
  @Option(names = "--data", defaultValue = "docs/capacity",
      description = "directory of the measurements") Path data;

  @Option(names = "--page", defaultValue = "docs/CAPACITY.md",
      description = "page that contains the tables") Path page;

  @Option(names = "--check",
      description = "write nothing; exit with 1 if the page differs from the data") boolean check;

  @Override
  public Integer call() {
    try {
      List<Table> tables = CapacityTables.of(CapacityData.read(data));
      String text = Files.readString(page);
      return check ? check(text, tables) : write(text, tables);
    } catch (NoSuchFileException e) {
      System.err.println("saltlatch lab scale report: no such file: " + e.getFile());
      return 2;
    } catch (IOException | CapacityPage.PageMismatchException e) {
      System.err.println("saltlatch lab scale report: " + e.getMessage());
      return 2;
    }
  }

  private int check(String text, List<Table> tables) {
    List<String> different = CapacityPage.outdatedTables(text, tables);
    different
        .forEach(table -> System.out.println(page + ": table " + table + " differs from the data"));
    return different.isEmpty() ? 0 : 1;
  }

  private int write(String text, List<Table> tables) throws IOException {
    List<String> different = CapacityPage.outdatedTables(text, tables);
    Files.writeString(page, CapacityPage.withTables(text, tables));
    System.out
        .println(page + ": " + different.size() + " of " + tables.size() + " tables written anew");
    return 0;
  }
}
