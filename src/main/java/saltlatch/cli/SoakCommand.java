package saltlatch.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.soak.SoakRun;

/** {@code lab soak}: runs a range of seeds; exits with 1 if a request was lost, 2 on bad input. */
@Command(name = "soak", mixinStandardHelpOptions = true,
    description = "End and kill node processes under clients that use their connections until then.")
final class SoakCommand implements Callable<Integer> {
  @Spec CommandSpec spec;

  @Option(names = "--seeds", required = true, description = "range of seeds, A-B") String seeds;

  @Option(names = "--dir", defaultValue = "target/soak",
      description = "directory for logs (${DEFAULT-VALUE})") Path directory;

  @Override
  public Integer call() throws Exception {
    long first = bound(0);
    long last = bound(1);
    boolean held = true;
    for (long seed = first; seed <= last; seed++) {
      Processes.Program program = Processes.Program.of(Path.of("deploy/balancer.toml"),
          Path.of("target/saltlatch.jar"), directory.resolve(Long.toString(seed)));
      SoakRun.Result result = SoakRun.run(program, seed);
      System.out.println(result);
      held &= result.violations().isEmpty();
      if (!result.violations().isEmpty()) System.out
          .println("again: java -jar target/saltlatch.jar lab soak --seeds " + seed + "-" + seed);
    }
    return held ? 0 : 1;
  }

  private long bound(int part) {
    if (!seeds.matches("\\d{1,9}-\\d{1,9}")) {
      throw new ParameterException(spec.commandLine(),
          "--seeds: expected A-B, found '" + seeds + "'");
    }
    return Long.parseLong(seeds.split("-", -1)[part]);
  }
}
