package saltlatch;

import java.io.IOException;
import picocli.CommandLine;
import saltlatch.cli.Commands;
import saltlatch.node.EdgeNode;
import saltlatch.policy.PolicyEngine;
import saltlatch.simhost.SimulatorHost;

/**
 * The jar's entry. {@code serve} and {@code simhost} alone start at once, without picocli: parsing
 * its annotations cost a node 0.19 s of its start at a third of a core (loopback, 260 ms to 450 ms
 * to serve); all else, and those two with options, go through picocli's subcommands
 * ({@link Commands}).
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    if (args.length == 1 && args[0].equals("serve") && System.getenv("LB_CONFIG") != null) {
      int code = EdgeNode.run(PolicyEngine::new, System.getenv("LB_CONFIG"), System.err);
      if (code != 0) System.exit(code);
      return;
    }
    if (args.length == 1 && args[0].equals("simhost")) {
      System.exit(new SimulatorHost(PolicyEngine::new).run(System.in, System.out, System.err));
    }
    int code = new CommandLine(new Commands()).execute(args);
    if (code != 0 || !Commands.keepsRunning(args)) System.exit(code);
  }
}
