package saltlatch.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import saltlatch.node.ServeProcess;
import saltlatch.policy.PolicyEngine;
import saltlatch.simhost.SimulatorHost;

/**
 * The command line: {@code serve}, {@code simhost}, {@code emulate}, {@code load}, {@code report},
 * {@code lab}. Exit codes: 0 done (or, for {@code serve}, serving), 2 bad input or configuration, 3
 * can't listen, 1 a lab check failed.
 */
@Command(name = "saltlatch", mixinStandardHelpOptions = true, version = "saltlatch 0.2.0",
    description = "A quota-keeping gateway for a shared API, and its laboratory.",
    subcommands = {RootCommand.ServeCommand.class, RootCommand.SimHostCommand.class,
        EmulateCommand.class, LoadCommand.class, ReportCommand.class, LabCommand.class,
        RelayCommand.class})
public final class RootCommand implements Runnable {

  /** True for the subcommands whose work goes on after {@code main} returns. */
  public static boolean keepsRunning(String[] args) {
    return args.length > 0 && (args[0].equals("serve") || args[0].equals("emulate"));
  }

  @Override
  public void run() {
    System.err.println(
        "usage: saltlatch serve | simhost | emulate | load | report | lab  (--help for each)");
  }

  /**
   * One real edge node; the configuration is the file that {@code LB_CONFIG} names, as the platform
   * gives it.
   */
  @Command(name = "serve", mixinStandardHelpOptions = true,
      description = "Serve as one edge node; LB_CONFIG names the configuration (JSON).")
  static final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() {
      String path = System.getenv("LB_CONFIG");
      if (path == null) {
        System.err.println("saltlatch serve: LB_CONFIG names no configuration");
        return 2;
      }
      return ServeProcess.run(PolicyEngine::new, path, System.err);
    }
  }

  /** The decision module on the simulator's wire, standard input to standard output. */
  @Command(name = "simhost", mixinStandardHelpOptions = true,
      description = "Host the decision module on the simulator's frames (stdin to stdout).")
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
