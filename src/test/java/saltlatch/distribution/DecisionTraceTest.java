package saltlatch.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The hard cases of distribution as traces of events and the actions that must follow, in
 * {@code distribution/*.trace}.
 */
class DecisionTraceTest {
  /** What was played is left here, to be read beside what is written down. */
  private static final Path PLAYED = Path.of("target", "distribution");

  @ParameterizedTest
  @ValueSource(strings = {"reads-nothing", "moved-to-one-behind", "back-with-less",
      "change-during-snapshot", "malformed", "told-twice", "new-series", "whole-lists-compared",
      "log-bound", "return-to-preferred", "admission", "cut-off", "no-list-yet"})
  void actionsFollowAsWrittenDown(String name) throws IOException {
    String trace = DecisionTrace.read(name);
    String played = DecisionTrace.play(trace);
    Files.createDirectories(PLAYED);
    Files.writeString(PLAYED.resolve(name + ".trace"), played);
    assertEquals(trace, played);
  }
}
