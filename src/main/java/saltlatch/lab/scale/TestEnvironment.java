package saltlatch.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.IntFunction;
import saltlatch.lab.rig.Processes;

/**
 * The programs that scale tests start as processes, and the directory for their files.
 *
 * @param program the program of real nodes: the JVM flags of the deployment file's {@code run}
 *     line, the jar that is measured, and a directory for configurations and logs
 * @param tools   the jar that runs the simulated servers and hollow nodes. It is this program's
 *     own jar, even if the measured jar is of an older revision.
 */
public record TestEnvironment(Processes.Program program, Path tools) {
  /**
   * Memory of one real node: 192 MB. The {@code run} line allows 64 MB of heap, 24 MB of direct
   * memory, 48 MB of metaspace and 24 MB of code cache; the other 32 MB are for thread stacks.
   */
  static final long NODE_BYTES = 192L << 20;
  /**
   * Memory of one substitute for discovery ({@link SourceProcess}): 384 MB of heap, and at most 384
   * MB of direct memory.
   */
  static final long SOURCE_BYTES = 768L << 20;
  static final List<String> SOURCE_FLAGS = List.of("-Xmx384m", "-XX:+UseSerialGC",
      "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn");

  /**
   * Returns an environment that starts real nodes with the JVM flags of the {@code run} line in a
   * deployment file.
   */
  public static TestEnvironment of(Path deploymentFile, Path jar, Path tools, Path dir)
      throws IOException {
    return new TestEnvironment(Processes.Program.of(deploymentFile, jar, dir), tools);
  }

  Path dir() {
    return program.dir();
  }

  /**
   * Returns the manager of a group of real nodes, without starting them. {@code config} returns the
   * JSON configuration of the node with the given number.
   */
  Processes nodes(IntFunction<String> config) {
    return new Processes(program, (number, old) -> config.apply(number));
  }
}
