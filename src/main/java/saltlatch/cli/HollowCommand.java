package saltlatch.cli;

import java.io.BufferedWriter;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import saltlatch.lab.hollow.HollowFleet;
import saltlatch.lab.hollow.HollowRun;
import saltlatch.lab.hollow.NodeConfig;
import saltlatch.lab.scale.Machine;
import saltlatch.lab.scale.ResourceRequirements;
import saltlatch.policy.PolicyEngine;

/**
 * {@code lab hollow}: runs the control part of many edge nodes in this process. All of them follow
 * one discovery agent or relay.
 */
@Command(name = "hollow", mixinStandardHelpOptions = true,
    subcommands = {HollowCompareCommand.class}, description = "Run the control part of many "
        + "edge nodes in this process: discovery, endpoint list and membership, no data path.")
final class HollowCommand implements Callable<Integer> {
  private static final int REFUSED = 2; // exit code

  @Spec CommandSpec spec;

  @Option(names = "--nodes", description = "hollow nodes in this process") int nodes;

  @Option(names = "--discovery",
      description = "HOST:PORT of the discovery agent or relay that serves the list") String discovery;

  @Option(names = "--first", defaultValue = "0",
      description = "number of the first node in this process") int first;

  @Option(names = "--of", defaultValue = "0",
      description = "nodes of the complete fleet; 0: up to the last node in this process") int of;

  @Option(names = "--loops", defaultValue = "1",
      description = "event loops (${DEFAULT-VALUE})") int loops;

  @Option(names = "--start-over-seconds", defaultValue = "0",
      description = "seconds over which the nodes are started; 0: all at once") double startOverSeconds;

  @Option(names = "--seconds", defaultValue = "0",
      description = "seconds to run; 0: until SIGTERM") double seconds;

  @Option(names = "--membership",
      description = "run membership between the nodes; requires --of if the fleet has "
          + "several processes") boolean membership;

  @Option(names = "--peer-port", defaultValue = "20000",
      description = "datagram port of node 0; node N uses this port plus N (${DEFAULT-VALUE})") int peerPort;

  @Option(names = "--report",
      description = "file for JSON lines; default: standard output") Path report;

  @Override
  public Integer call() throws Exception {
    if (nodes < 1 || discovery == null || loops < 1) {
      throw new ParameterException(spec.commandLine(),
          "expected --nodes of at least 1, --discovery HOST:PORT and --loops of at least 1; found --nodes "
              + nodes + ", --discovery " + (discovery == null ? "missing" : "given") + ", --loops "
              + loops);
    }
    try {
      Machine.here().admit("lab hollow", nodes,
          new ResourceRequirements(Runtime.getRuntime().maxMemory(), 0));
    } catch (Machine.ResourceLimitException e) {
      System.err.println("saltlatch " + e.getMessage() + " (-Xmx sets it)");
      return REFUSED;
    }
    int fleetSize = of > 0 ? of : first + nodes;
    List<NodeConfig> configs = IntStream.range(first, first + nodes)
        .mapToObj(number -> new NodeConfig(number, fleetSize, discovery, membership, peerPort, 1))
        .toList();
    try (Writer writer = report == null ? standardOutput() : Files.newBufferedWriter(report);
        HollowFleet fleet = new HollowFleet(loops, configs)) {
      HollowRun run = new HollowRun(fleet, writer, System.err);
      // the JVM exits when its shutdown hooks return, so this hook waits for the report
      Runtime.getRuntime().addShutdownHook(new Thread(run::end));
      run.run(PolicyEngine::new, startOverSeconds, seconds);
    }
    return 0;
  }

  private static Writer standardOutput() {
    return new BufferedWriter(
        new OutputStreamWriter(new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8));
  }
}
