package saltlatch;

import java.io.IOException;
import picocli.CommandLine;
import saltlatch.cli.RootCommand;
import saltlatch.node.ServeProcess;
import saltlatch.policy.PolicyEngine;
import saltlatch.simhost.SimulatorHost;

/**
 * The jar's entry. {@code serve} with its configuration in LB_CONFIG and {@code simhost} start
 * without picocli, whose parsing of annotations would dominate a node's start on part of a core; a
 * restart has few seconds. All else goes through picocli's subcommands ({@link RootCommand}).
 */
public final class Main {
  private static final String CONFIGURATION_PATH = System.getenv("LB_CONFIG");

  private Main() {}

  /** Runs the command of the arguments; exits with its code unless it goes on in the background. */
  public static void main(String[] args) throws IOException {
    if (args.length == 1 && args[0].equals("serve") && CONFIGURATION_PATH != null) {
      int code = ServeProcess.run(PolicyEngine::new, CONFIGURATION_PATH, System.err);
      if (code != 0) System.exit(code);
      return;
    }
    if (args.length == 1 && args[0].equals("simhost")) {
      System.exit(new SimulatorHost(PolicyEngine::new).run(System.in, System.out, System.err));
    }
    int code = new CommandLine(new RootCommand()).execute(args);
    if (code != 0 || !RootCommand.keepsRunning(args)) System.exit(code);
  }
}
