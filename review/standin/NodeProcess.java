package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An edge node: a process started with the command {@code run} of the deploy file. */
final class NodeProcess implements AutoCloseable {
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"\\s*#.*$");
  private static final long READY_WITHIN_MS = 30_000;

  final String name;
  final int port;
  private final Path root;
  private final Path folder;
  private final Recorder record;
  private Process process;

  NodeProcess(String name, int port, Path root, Path folder, Recorder record) {
    this.name = name;
    this.port = port;
    this.root = root;
    this.folder = folder;
    this.record = record;
  }

  /** Returns a port that is free now. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** Writes the configuration and starts the process. */
  void start(String configuration, String discovery) throws IOException {
    Path file = folder.resolve(name + ".json");
    Files.writeString(file, configuration);
    Path temporary = Files.createDirectories(folder.resolve(name + "-tmp"));
    Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!run.find()) throw new IOException("deploy/balancer.toml has no command run");
    ProcessBuilder builder = new ProcessBuilder("sh", "-c", run.group(1)).directory(root.toFile())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    builder.environment().put("LB_NAME", name);
    builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("LB_DISCOVERY", discovery);
    builder.environment().put("LB_CONFIG", file.toString());
    builder.environment().put("TMPDIR", temporary.toString());
    process = builder.start();
    record.line("%s starts on port %d", name, port);
  }

  private Path log() {
    return folder.resolve(name + ".log");
  }

  /** Waits until the node answers PING with PONG; returns whether it did. */
  boolean awaitReady() throws IOException, InterruptedException {
    double until = record.nowMs() + READY_WITHIN_MS;
    while (record.nowMs() < until && process.isAlive()) {
      if ("+PONG".equals(ask("PING"))) {
        record.line("%s answers PING", name);
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Sends one command on a connection of its own; returns the answer, null if there is none. */
  String ask(String command) throws InterruptedException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(2_000);
      socket.getOutputStream().write(Resp.command(command));
      InputStream in = socket.getInputStream();
      return Resp.readAnswer(in);
    } catch (IOException e) {
      return null;
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Sends SIGTERM. */
  void terminate() {
    record.line("%s gets SIGTERM", name);
    process.destroy();
  }

  /** Waits for the end of the process, and sends SIGKILL at this time if it has not come. */
  void killUnlessEnded(double atMs) throws InterruptedException {
    while (process.isAlive() && record.nowMs() < atMs) Thread.sleep(5);
    record.line("%s %s", name, process.isAlive() ? "gets SIGKILL" : "has ended by itself");
    if (process.isAlive()) process.destroyForcibly();
  }

  /** Copies the process' log to the record. */
  void recordLog() throws IOException {
    if (!Files.exists(log())) return;
    for (String line : Files.readAllLines(log())) record.line("log of %s: %s", name, line);
  }

  @Override
  public void close() throws IOException {
    if (process == null) return;
    process.descendants().forEach(ProcessHandle::destroyForcibly);
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    recordLog();
  }
}
