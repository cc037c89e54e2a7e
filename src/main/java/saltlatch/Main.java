package saltlatch;

import java.io.IOException;
import saltlatch.node.Serve;
import saltlatch.simhost.SimHost;

/** Subcommands of the jar. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    if (args.length == 1 && args[0].equals("simhost")) {
      System.exit(new SimHost(Control::new).run(System.in, System.out, System.err));
    }
    String path = System.getenv("LB_CONFIG");
    if (args.length == 1 && args[0].equals("serve") && path != null) {
      int code = Serve.run(Control::new, path, System.err);
      if (code != 0) System.exit(code);
      return;
    }
    System.err.println("usage: saltlatch simhost | serve (with LB_CONFIG naming the configuration)");
    System.exit(2);
  }
}
