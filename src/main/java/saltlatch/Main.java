package saltlatch;

import java.io.IOException;
import picocli.CommandLine;
import saltlatch.cli.RootCommand;
import saltlatch.node.ServeProcess;
import saltlatch.policy.PolicyEngine;
import saltlatch.simhost.SimulatorHost;

/**
 * The jar's entry point. {@code serve}, if LB_CONFIG names its configuration file, and {@code
 * simhost} start without picocli: a restart must finish within a few seconds, and on a fraction of
 * a core picocli's parsing of annotations would take most of that time. All other commands are
 * picocli subcommands of {@link RootCommand}.
 */
public final class Main {
  private static final String CONFIGURATION_PATH = System.getenv("LB_CONFIG");

  private Main() {}

  /**
   * Runs the command that the arguments name, and exits with its exit code unless it keeps running
   * in the background.
   *
   * @throws IOException if {@code simhost} can't read its input or write its output
   */
  public static void main(String[] args) throws IOException {
    if (args.length == 1 && args[0].equals("serve") && CONFIGURATION_PATH != null) {
      int exitCode = ServeProcess.run(PolicyEngine::new, CONFIGURATION_PATH, System.err);
      if (exitCode != 0) System.exit(exitCode);
      return;
    }
    if (args.length == 1 && args[0].equals("simhost")) {
      System.exit(new SimulatorHost(PolicyEngine::new).run(System.in, System.out, System.err));
    }
    int exitCode = new CommandLine(new RootCommand()).execute(args);
    if (exitCode != 0 || !RootCommand.keepsRunning(args)) System.exit(exitCode);
  }
}
