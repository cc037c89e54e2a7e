package saltlatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.soak.SoakRun;

/** Guards against requests lost at planned restarts, with signals in series and with a crowd. */
class SoakIT {
  @TempDir Path directory;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 6})
  void everyRequestGetsItsFinalAnswer(long seed) throws Exception {
    SoakRun.Result result = SoakRun.run(Processes.Program.of(Path.of("deploy/balancer.toml"),
        Path.of("target/saltlatch.jar"), directory), seed);
    assertEquals(List.of(), result.violations());
    assertTrue(result.answered() > 500, result.toString());
  }
}
