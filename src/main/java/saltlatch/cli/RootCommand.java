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
 * load}, {@code report}, {@code lab} and {@code relay}. Exit codes: 0 for success (for {@code
 * serve}: the node serves), 1 if a lab check failed, 2 for invalid input or configuration, 3 if the
 * process can't listen.
 */
@Command(name = "saltlatch", mixinStandardHelpOptions = true, version = "saltlatch 0.2.0",
    description = "A quota-keeping gateway for a shared API, and its laboratory.",
    subcommands = {RootCommand.ServeCommand.class, RootCommand.SimHostCommand.class,
        EmulateCommand.class, LoadCommand.class, ReportCommand.class, LabCommand.class,
        RelayCommand.class})
public final class RootCommand implements Runnable {

  /** Returns whether the subcommand's work continues after {@code main} returns. */
  public static boolean keepsRunning(String[] args) {
    return args.length > 0 && (args[0].equals("serve") || args[0].equals("emulate"));
  }

  @Override
  public void run() {
    System.err.println(
        "usage: saltlatch serve | simhost | emulate | load | report | lab  (--help for each)");
  }

  /**
   * Runs one edge node. The platform sets {@code LB_CONFIG} to the path of the configuration file.
   */
  @Command(name = "serve", mixinStandardHelpOptions = true,
      description = "Run one edge node; LB_CONFIG is the path of the configuration (JSON).")
  static final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() {
      String path = System.getenv("LB_CONFIG");
      if (path == null) {
        System.err
            .println("saltlatch serve: LB_CONFIG must be the path of a configuration, found unset");
        return 2;
      }
      return ServeProcess.run(PolicyEngine::new, path, System.err);
    }
  }

  /** Runs the decision module on the simulator's frames, from standard input to standard output. */
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
