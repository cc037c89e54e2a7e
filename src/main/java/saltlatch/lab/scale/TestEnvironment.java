package saltlatch.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.IntFunction;
import saltlatch.lab.rig.Processes;

/**
 * The programs and the directory from which scale tests start their processes.
 *
 * @param program program of real nodes: JVM flags of the {@code run} line, the jar that is
 *     measured, and a directory for configurations and logs
 * @param tools   jar of the simulated servers and hollow nodes; always of the current revision,
 *     also if an older one is measured
 */
public record TestEnvironment(Processes.Program program, Path tools) {
  /** Heap 64, direct memory 24, metaspace 48 and code 24 MB as in the run line, plus stacks. */
  static final long NODE_BYTES = 192L << 20;
  static final long SOURCE_BYTES = 768L << 20; // 384 MB heap and at most as much direct memory
  static final List<String> SOURCE_FLAGS = List.of("-Xmx384m", "-XX:+UseSerialGC",
      "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn");

  /** Returns an environment that starts real nodes with the run line of a deployment file. */
  public static TestEnvironment of(Path deploymentFile, Path jar, Path tools, Path dir)
      throws IOException {
    return new TestEnvironment(Processes.Program.of(deploymentFile, jar, dir), tools);
  }

  Path dir() {
    return program.dir();
  }

  /**
   * Returns a group of real nodes, not started yet; {@code config} returns a node's JSON by number.
   */
  Processes nodes(IntFunction<String> config) {
    return new Processes(program, (number, old) -> config.apply(number));
  }
}
