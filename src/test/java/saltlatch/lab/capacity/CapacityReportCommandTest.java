package saltlatch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import saltlatch.cli.RootCommand;

/** {@code lab scale report}: what it writes and its exit codes. */
class CapacityReportCommandTest {
  @TempDir Path directory;

  private static int run(Path page, Path data, String... more) {
    CommandLine commands = new CommandLine(new RootCommand());
    String[] arguments = {"lab", "scale", "report", "--page", page.toString(), "--data",
        data.toString()};
    String[] all = java.util.Arrays.copyOf(arguments, arguments.length + more.length);
    System.arraycopy(more, 0, all, arguments.length, more.length);
    return commands.execute(all);
  }

  @Test
  void checkFindsWhatWritingMends() throws Exception {
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
  void badDataAndPagesEndWithTwo() throws Exception {
    assertEquals(2, run(directory.resolve("none.md"), Sample.DATA, "--check"));
    assertEquals(2, run(Sample.PAGE, directory, "--check"));
    Path page = directory.resolve("page.md");
    Files.writeString(page, "no place for a table");
    assertEquals(2, run(page, Sample.DATA));
    assertEquals("no place for a table", Files.readString(page));
  }
}
