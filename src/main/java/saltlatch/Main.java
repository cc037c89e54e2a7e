package saltlatch;

import picocli.CommandLine;
import saltlatch.cli.Commands;

/** The jar's entry: picocli's subcommands, see {@link Commands}. A node that serves keeps the process alive. */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    int code = new CommandLine(new Commands()).execute(args);
    if (code != 0 || !Commands.keepsRunning(args)) System.exit(code);
  }
}
