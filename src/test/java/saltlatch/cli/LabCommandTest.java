package saltlatch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** The lab's command line: bad input ends with code 2 and a line that names it. */
class LabCommandTest {
  private final StringWriter errors = new StringWriter();

  private int run(String... arguments) {
    return new CommandLine(new RootCommand()).setErr(new PrintWriter(errors)).execute(arguments);
  }

  @Test
  void namesWhatIsMissing() {
    assertEquals(2, run("lab"));
    assertTrue(errors.toString().contains("'--scenario=<scenario>'"), errors.toString());
    assertEquals(2, run("lab", "hollow", "--nodes", "3"));
    assertTrue(errors.toString().contains("--discovery HOST:PORT"), errors.toString());
  }

  @Test
  void namesTheScaleTests() {
    assertEquals(2, run("lab", "scale", "nonsense"));
    assertTrue(errors.toString().contains(
        "TEST is one of list, watchers, plans, counter, members, requests, sums, hollow, fleet, module"),
        errors.toString());
  }

  @Test
  void refusesASourceOfNothing() {
    assertEquals(2, run("lab", "scale", "source", "--entries", "0"));
    assertTrue(errors.toString().contains("--entries from 1"), errors.toString());
  }
}
