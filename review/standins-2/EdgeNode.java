import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One edge node as a process of its own, started with the deploy file's `run`. */
final class EdgeNode implements AutoCloseable {
  private final int port;
  private final Process process;

  /** Thrown if the node can't be started, so that the case can't run. */
  static final class NotStarted extends Exception {
    private static final long serialVersionUID = 1;

    NotStarted(String message) {
      super(message);
    }
  }

  /**
   * Starts a node and waits until it answers PING with PONG.
   *
   * @param run      the command, from deploy/balancer.toml
   * @param folder   for the configuration, the log and the node's temporary files
   * @param config   with the words LISTEN_PORT and PEER_PORT in place of the node's ports
   */
  EdgeNode(Path root, String run, Path folder, String config)
      throws IOException, InterruptedException, NotStarted {
    port = freePort();
    Path file = folder.resolve("config.json");
    Files.writeString(file, config.replace("LISTEN_PORT", "" + port).replace("PEER_PORT",
        "" + freePort()));
    Path temporary = Files.createDirectories(folder.resolve("tmp"));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
        .redirectErrorStream(true).redirectOutput(folder.resolve("node.log").toFile());
    builder.environment().put("LB_CONFIG", file.toString());
    builder.environment().put("LB_NAME", "n0");
    builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("TMPDIR", temporary.toString());
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    for (int i = 0; i < 300 && process.isAlive(); i++) {
      if (answersPing()) return;
      Thread.sleep(100);
    }
    process.destroyForcibly();
    throw new NotStarted(Files.readString(folder.resolve("node.log")));
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
    socket.setTcpNoDelay(true);
    return socket;
  }

  private boolean answersPing() {
    try (Socket socket = connect()) {
      socket.setSoTimeout(1_000);
      socket.getOutputStream().write(Resp.array("PING"));
      return Resp.read(socket.getInputStream()).equals("+PONG");
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the node's counters, one NAME=VALUE a line. */
  String info() throws IOException {
    try (Socket socket = connect()) {
      socket.setSoTimeout(2_000);
      socket.getOutputStream().write(Resp.array("INFO"));
      InputStream in = socket.getInputStream();
      return ((String) Resp.read(in)).substring(1);
    }
  }

  /** Sends a signal, such as STOP or CONT, to the node's process. */
  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(6, TimeUnit.SECONDS)) process.destroyForcibly().waitFor();
    } catch (InterruptedException e) {
      process.destroyForcibly();
    }
  }
}
