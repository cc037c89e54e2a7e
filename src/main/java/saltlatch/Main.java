package saltlatch;

import java.io.IOException;
import saltlatch.simhost.SimHost;

/** Subcommands of the jar. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    if (args.length == 1 && args[0].equals("simhost")) {
      System.exit(new SimHost(Control::new).run(System.in, System.out, System.err));
    }
    System.err.println("usage: saltlatch simhost");
    System.exit(2);
  }
}
