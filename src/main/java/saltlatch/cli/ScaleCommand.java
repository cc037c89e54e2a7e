package saltlatch.cli;

import picocli.CommandLine.Command;

/** {@code lab scale}: what the parts cost as one thing grows, and the stand-ins that this is measured against. */
@Command(name = "scale", mixinStandardHelpOptions = true, subcommands = {SourceCommand.class,
    CapacityReportCommand.class}, description = "Measure what a part costs as one thing grows.")
final class ScaleCommand implements Runnable {
  @Override
  public void run() {
    System.err.println("usage: saltlatch lab scale source | report  (--help for each)");
  }
}
