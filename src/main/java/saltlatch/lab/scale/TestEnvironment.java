package saltlatch.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.IntFunction;
import saltlatch.lab.rig.Processes;

/**
 * What the scale tests start their processes from.
 *
 * @param program real nodes: the {@code run} line's flags, the jar that is measured, a directory
 *     for configurations and logs
 * @param tools   the jar of the stand-ins and hollow nodes, which is this text's also where an
 *     older text is measured
 */
public record TestEnvironment(Processes.Program program, Path tools) {
  /** Heap 64, direct 24, metaspace 48 and code 24 MB as in the run line, and some for stacks. */
  static final long NODE_BYTES = 192L << 20;
  static final long SOURCE_BYTES = 768L << 20; // its heap, and as much of direct memory at the most
  static final List<String> SOURCE_FLAGS = List.of("-Xmx384m", "-XX:+UseSerialGC",
      "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn");

  /** With the deployment's run line. */
  public static TestEnvironment of(Path balancer, Path jar, Path tools, Path dir)
      throws IOException {
    return new TestEnvironment(Processes.Program.of(balancer, jar, dir), tools);
  }

  Path dir() {
    return program.dir();
  }

  /** Real nodes; each configuration by its number. */
  Processes nodes(IntFunction<String> config) {
    return new Processes(program, (number, old) -> config.apply(number));
  }
}
