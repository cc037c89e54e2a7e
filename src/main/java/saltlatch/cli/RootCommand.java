package saltlatch.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import saltlatch.node.ServeProcess;
import saltlatch.policy.PolicyEngine;
import saltlatch.simhost.SimulatorHost;

/**
 * The command line with the subcommands {@code serve}, {@code simhost}, {@code emulate}, {@code
 * load}, {@code report}, {@code lab} and {@code relay}. Exit codes: 0 for success, 1 if a check of
 * the laboratory failed, 2 if the input or the configuration is invalid, 3 if the process can't
 * listen. For {@code serve}, success means that the node accepts clients; the process then
 * continues to run.
 */
@Command(name = "saltlatch", mixinStandardHelpOptions = true, version = "saltlatch 0.2.0",
    description = "A quota-keeping gateway for a shared API, and its laboratory.",
    subcommands = {RootCommand.ServeCommand.class, RootCommand.SimHostCommand.class,
        EmulateCommand.class, LoadCommand.class, ReportCommand.class, LabCommand.class,
        RelayCommand.class})
public final class RootCommand implements Runnable {

  /** Returns whether the process must continue to run after the subcommand has returned 0. */
  public static boolean keepsRunning(String[] args) {
    return args.length > 0 && (args[0].equals("serve") || args[0].equals("emulate"));
  }

  @Override
  public void run() {
    System.err.println(
        "usage: saltlatch serve | simhost | emulate | load | report | lab  (--help for each)");
  }

  /**
   * Runs one edge node. The environment variable {@code LB_CONFIG}, which the deployment platform
   * sets, is the path of the configuration file.
   */
  @Command(name = "serve", mixinStandardHelpOptions = true,
      description = "Run one edge node; LB_CONFIG is the path of the configuration (JSON).")
  static final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() {
      String path = System.getenv("LB_CONFIG");
      if (path == null) {
        System.err.println(
            "saltlatch serve: expected the path of a configuration file in LB_CONFIG, found none");
        return 2;
      }
      return ServeProcess.run(PolicyEngine::new, path, System.err);
    }
  }

  /**
   * Runs the gateway policy for the simulator: reads frames of events from standard input and
   * writes frames of actions to standard output.
   */
  @Command(name = "simhost", mixinStandardHelpOptions = true,
      description = "Run the decision module on the simulator's frames (stdin to stdout).")
  static final class SimHostCommand implements Callable<Integer> {
    @Override
    public Integer call() {
      try {
        return new SimulatorHost(PolicyEngine::new).run(System.in, System.out, System.err);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
