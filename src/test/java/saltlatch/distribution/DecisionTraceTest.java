package saltlatch.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the actions of a distributor with recorded traces in {@code distribution/*.trace}. Each
 * trace covers a difficult case as a sequence of events with the expected actions.
 */
class DecisionTraceTest {
  /** Directory of the actual traces, for comparison with the expected ones. */
  private static final Path OUTPUT = Path.of("target", "distribution");

  @ParameterizedTest
  @ValueSource(strings = {"reads-nothing", "moved-to-one-behind", "back-with-less",
      "change-during-snapshot", "malformed", "told-twice", "new-series", "whole-lists-compared",
      "log-bound", "return-to-preferred", "admission", "cut-off", "no-list-yet"})
  void actionsMatchTrace(String name) throws IOException {
    String trace = DecisionTrace.read(name);
    String played = DecisionTrace.play(trace);
    Files.createDirectories(OUTPUT);
    Files.writeString(OUTPUT.resolve(name + ".trace"), played);
    assertEquals(trace, played);
  }
}
