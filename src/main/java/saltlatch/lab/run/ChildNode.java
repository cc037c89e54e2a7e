package saltlatch.lab.run;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import saltlatch.wire.Resp;
import saltlatch.wire.RespReader;

/**
 * An edge node as a child process, started with the {@code run} line's JVM flags and {@code serve}, for machines
 * other than the bench's platform (which allows one exec'ed process and no fork). Its figures come from {@code INFO}
 * over its own port; its CPU and RSS from {@code /proc}. Stopped with SIGTERM, as the platform stops a node.
 */
final class ChildNode implements Lab.Node {
  private static final long READY_MS = 30_000; // a node must answer PING within this, as on the platform

  private final Process process;
  private final int port;

  private ChildNode(Process process, int port) {
    this.process = process;
    this.port = port;
  }

  /** Starts {@code java FLAGS -jar JAR serve} with the config, its {@code listen} set to a free port; waits for PONG. */
  static ChildNode start(String configJson, List<String> jvmFlags, Path jar, Path dir, int index) throws Exception {
    int port = freePort();
    Path config = dir.resolve("n" + index + ".json");
    Files.writeString(config, configJson.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\""));
    List<String> cmd = new ArrayList<>(List.of("java"));
    cmd.addAll(jvmFlags);
    cmd.addAll(List.of("-jar", jar.toString(), "serve"));
    ProcessBuilder pb = new ProcessBuilder(cmd).redirectErrorStream(true)
        .redirectOutput(dir.resolve("n" + index + ".log").toFile());
    pb.environment().put("LB_CONFIG", config.toString());
    ChildNode node = new ChildNode(pb.start(), port);
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
    while (System.nanoTime() < until) {
      try {
        if (node.ask("*1\r\n$4\r\nPING\r\n") instanceof Resp.Line l && l.type() == '+' && l.text().startsWith("PONG")) {
          return node;
        }
      } catch (IOException e) {
        Thread.sleep(50);
      }
    }
    node.process.destroyForcibly();
    throw new IOException("node " + index + " not ready in " + READY_MS + " ms");
  }

  @Override
  public int port() {
    return port;
  }

  /** The node's INFO counters, with its CPU ms and resident KB from /proc. */
  @Override
  public Map<String, Long> figures() throws IOException {
    Map<String, Long> m = Lab.parse(ask("*1\r\n$4\r\nINFO\r\n") instanceof Resp.Bulk info ? info.text() : "");
    long pid = process.pid();
    String[] stat = Files.readString(Path.of("/proc/" + pid + "/stat")).split(" ");
    m.put("process_cpu_ms", (Long.parseLong(stat[13]) + Long.parseLong(stat[14])) * 10); // clock ticks of 10 ms
    for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
      if (line.startsWith("VmRSS:")) m.put("rss_kb", Long.parseLong(line.replaceAll("[^0-9]", "")));
    }
    return m;
  }

  /** SIGTERM, then waits for the node's drain; SIGKILL if it does not end. */
  @Override
  public void stop() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(10, TimeUnit.SECONDS)) process.destroyForcibly();
  }

  /** What the node answers; null if it ends the connection before. */
  private Resp ask(String command) throws IOException {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
      s.setSoTimeout(2_000);
      OutputStream out = s.getOutputStream();
      out.write(command.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      InputStream in = s.getInputStream();
      byte[] buf = new byte[16_384];
      RespReader reader = new RespReader();
      int n;
      while ((n = in.read(buf)) > 0) {
        reader.feed(Buffer.buffer(n).appendBytes(buf, 0, n));
        Resp answer = reader.next();
        if (answer != null) return answer;
      }
      return null;
    } catch (RespReader.Lost e) {
      throw new IOException(e);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return s.getLocalPort();
    }
  }
}
