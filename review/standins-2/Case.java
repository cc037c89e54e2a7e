import java.nio.file.Path;

/** Runs a case and ends its process with the code of the verdict, within 110 s in any case. */
final class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;
  private static final long MAX_MS = 110_000;

  /** What a case gets from run-case.sh. */
  record Setup(Path root, String run, Path folder, boolean trouble, Recorder record) {
    EdgeNode startNode(String config) throws Exception {
      return new EdgeNode(root, run, folder, config);
    }
  }

  interface Body {
    int play(Setup setup) throws Exception;
  }

  private Case() {}

  /** {@code args} are ROOT RUN FOLDER TROUBLE RECORD and those of the case itself. */
  static void play(String[] args, Body body) throws Exception {
    Threads.run(() -> {
      Thread.sleep(MAX_MS);
      System.out.println("could not run: not over after " + MAX_MS + " ms");
      System.exit(COULD_NOT_RUN);
    });
    int code = COULD_NOT_RUN;
    try (Recorder record = new Recorder(Path.of(args[4]))) {
      code = body.play(new Setup(Path.of(args[0]), args[1], Path.of(args[2]),
          !args[3].equals("0"), record));
    } catch (EdgeNode.NotStarted e) {
      System.out.println("could not run: " + e.getMessage());
    }
    System.out.println(code == HELD ? "held" : code == BROKEN ? "BROKEN" : "could not run");
    System.exit(code);
  }

  /** Returns a node's configuration: alone in its tier, with these partners and settings. */
  static String config(String discovery, String counter, String known, String settings) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:LISTEN_PORT\",\"discovery\":\"" + discovery
        + "\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
        + "\"peer_listen\":\"127.0.0.1:PEER_PORT\",\"peers\":[\"127.0.0.1:PEER_PORT\"],"
        + "\"peers_all\":\"127.0.0.1:PEER_PORT\",\"counter\":\"" + counter + "\",\"known\":" + known
        + ",\"settings\":" + settings + "}";
  }

  /** Returns an entry of discovery's list. */
  static String entry(String name, int port, String zone, String type, int group) {
    return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
        + "\",\"type\":\"" + type + "\",\"group\":" + group
        + ",\"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0}";
  }

  static String list(Iterable<String> entries) {
    return "{\"index\":41,\"snapshot\":true,\"endpoints\":[" + String.join(",", entries) + "]}";
  }
}
