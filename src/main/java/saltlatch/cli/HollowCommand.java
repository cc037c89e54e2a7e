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
 * {@code lab hollow}: the control part of many edge nodes in this process, following one discovery
 * or relay.
 */
@Command(name = "hollow", mixinStandardHelpOptions = true,
    subcommands = {HollowCompareCommand.class}, description = "Run the control part of many "
        + "edge nodes in this process: discovery, list and membership, no data path.")
final class HollowCommand implements Callable<Integer> {
  private static final int REFUSED = 2; // exit code

  @Spec CommandSpec spec;

  @Option(names = "--nodes", description = "hollow nodes in this process") int nodes;

  @Option(names = "--discovery", description = "HOST:PORT of what tells the list") String discovery;

  @Option(names = "--first", defaultValue = "0",
      description = "number of the first of them") int first;

  @Option(names = "--of", defaultValue = "0",
      description = "nodes of the whole fleet; 0: those here") int of;

  @Option(names = "--loops", defaultValue = "1",
      description = "event loops (${DEFAULT-VALUE})") int loops;

  @Option(names = "--start-over-seconds", defaultValue = "0",
      description = "time over which they start; 0: all at once") double startOverSeconds;

  @Option(names = "--seconds", defaultValue = "0",
      description = "time that it runs for; 0: until it is ended by SIGTERM") double seconds;

  @Option(names = "--membership",
      description = "the nodes know each other; wants --of where the fleet has "
          + "several processes") boolean membership;

  @Option(names = "--peer-port", defaultValue = "20000",
      description = "datagram port of node 0, the others' follow (${DEFAULT-VALUE})") int peerPort;

  @Option(names = "--report",
      description = "file for JSON lines; else standard output") Path report;

  @Override
  public Integer call() throws Exception {
    if (nodes < 1 || discovery == null || loops < 1) {
      throw new ParameterException(spec.commandLine(),
          "--nodes N from 1, --discovery HOST:PORT, --loops from 1");
    }
    try {
      Machine.here().admit("lab hollow", nodes,
          new ResourceRequirements(Runtime.getRuntime().maxMemory(), 0));
    } catch (Machine.ResourceLimitException e) {
      System.err.println("saltlatch " + e.getMessage() + " (-Xmx sets it)");
      return REFUSED;
    }
    int all = of > 0 ? of : first + nodes;
    List<NodeConfig> configs = IntStream.range(first, first + nodes)
        .mapToObj(number -> new NodeConfig(number, all, discovery, membership, peerPort, 1))
        .toList();
    try (Writer writer = report == null ? standardOutput() : Files.newBufferedWriter(report);
        HollowFleet fleet = new HollowFleet(loops, configs)) {
      HollowRun run = new HollowRun(fleet, writer, System.err);
      // The JVM ends once its hooks are done: the hook waits for the report.
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
