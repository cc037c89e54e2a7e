package saltlatch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import saltlatch.cli.RootCommand;

/** Tests the output file and the exit codes of {@code lab scale report}. */
class CapacityReportCommandTest {
  @TempDir Path directory;

  private static int run(Path page, Path data, String... options) {
    CommandLine commandLine = new CommandLine(new RootCommand());
    String[] arguments = {"lab", "scale", "report", "--page", page.toString(), "--data",
        data.toString()};
    String[] allArguments = java.util.Arrays.copyOf(arguments, arguments.length + options.length);
    System.arraycopy(options, 0, allArguments, arguments.length, options.length);
    return commandLine.execute(allArguments);
  }

  @Test
  void checkFailsUntilTheTablesAreWritten() throws Exception {
    Path page = directory.resolve("page.md");
    String committed = Files.readString(Sample.PAGE);
    Files.writeString(page, committed.replace("| 34,000 |", "| 35,000 |"));
    assertEquals(1, run(page, Sample.DATA, "--check"));
    assertFalse(committed.equals(Files.readString(page)));
    assertEquals(0, run(page, Sample.DATA));
    assertEquals(committed, Files.readString(page));
    assertEquals(0, run(page, Sample.DATA, "--check"));
  }

  @Test
  void invalidDataOrPageExitsWithTwo() throws Exception {
    assertEquals(2, run(directory.resolve("none.md"), Sample.DATA, "--check"));
    assertEquals(2, run(Sample.PAGE, directory, "--check"));
    Path page = directory.resolve("page.md");
    Files.writeString(page, "no place for a table");
    assertEquals(2, run(page, Sample.DATA));
    assertEquals("no place for a table", Files.readString(page));
  }
}
