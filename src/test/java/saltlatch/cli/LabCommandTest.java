package saltlatch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Checks that invalid lab arguments end with exit code 2 and a message that names them. */
class LabCommandTest {
  private final StringWriter errors = new StringWriter();

  private int run(String... arguments) {
    return new CommandLine(new RootCommand()).setErr(new PrintWriter(errors)).execute(arguments);
  }

  @Test
  void errorNamesTheMissingOption() {
    assertEquals(2, run("lab"));
    assertTrue(errors.toString().contains("'--scenario=<scenario>'"), errors.toString());
    assertEquals(2, run("lab", "hollow", "--nodes", "3"));
    assertTrue(errors.toString().contains("--discovery HOST:PORT"), errors.toString());
  }

  @Test
  void errorListsTheScaleTests() {
    assertEquals(2, run("lab", "scale", "nonsense"));
    assertTrue(errors.toString().contains(
        "TEST is one of list, watchers, plans, counter, members, requests, sums, hollow, fleet, module"),
        errors.toString());
  }

  @Test
  void rejectsASourceWithoutEntries() {
    assertEquals(2, run("lab", "scale", "source", "--entries", "0"));
    assertTrue(errors.toString().contains("--entries must be at least 1"), errors.toString());
  }
}
