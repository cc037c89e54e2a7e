package saltlatch.lab.rig;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltlatch.history.HistoryWriter;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.plan.Timeline;
import saltlatch.lab.plan.Timeline.Action;
import saltlatch.wire.FramingException;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespValue;

/**
 * The edge nodes as child processes, each {@code java FLAGS -jar JAR serve} with the {@code run}
 * line's flags, and what a schedule does to them by their ids: killed, stopped and continued,
 * ended, started again under the same name, address and configuration (or an older one). Figures
 * come from {@code INFO}, CPU and RSS from {@code /proc}. For machines other than the bench's
 * platform, which allows one process and no fork.
 */
public final class Processes implements AutoCloseable {
  // a node must answer PING within this, as on the platform
  private static final long READY_MS = 30_000;
  private static final long END_MS = 10_000; // SIGTERM leaves a node 3.7 s at most
  private static final long LOOK_MS = 50; // between two looks whether a node is ready

  /**
   * The JVM flags of the {@code run} line, the jar, a directory for configurations, logs and
   * histories.
   */
  public record Program(List<String> jvmFlags, Path jar, Path dir) {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"exec java (.*?) -jar ");

    /**
     * With the flags of the {@code run} line, but for the class archive, which belongs to the jar
     * it was made of.
     */
    public static Program of(Path balancer, Path jar, Path dir) throws IOException {
      Matcher m = RUN.matcher(Files.readString(balancer));
      if (!m.find()) throw new IOException("no run line in " + balancer);
      String tmp = System.getenv().getOrDefault("TMPDIR", "/tmp");
      return new Program(List.of(m.group(1).replaceAll(" -XX:SharedArchiveFile=\\S+", "")
          .replace("${TMPDIR:-/tmp}", tmp).split(" ", 0)), jar, dir);
    }
  }

  private final Program program;
  // by number, and whether it is the older one
  private final BiFunction<Integer, Boolean, String> configs;
  private final List<Process> processes = new ArrayList<>();
  private final List<Integer> ports = new ArrayList<>();
  private final Set<Integer> stopped = ConcurrentHashMap.newKeySet();
  private final List<Socket> held = new ArrayList<>();
  private Thread director;
  private volatile boolean closed;

  public Processes(Program program, BiFunction<Integer, Boolean, String> configs) {
    this.program = program;
    this.configs = configs;
  }

  /** Starts {@code n} nodes at once and waits until each answers PING. */
  public void start(int n) throws IOException, InterruptedException {
    Files.createDirectories(program.dir);
    // Guards against nodes that outlive a lab that was ended from outside: they would keep ports
    // and cores.
    Runtime.getRuntime().addShutdownHook(
        new Thread(() -> List.copyOf(processes).forEach(Process::destroyForcibly)));
    for (int i = 0; i < n; i++) {
      ports.add(hold());
      processes.add(launch(i, false));
    }
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
    for (int i = 0; i < n; i++) {
      while (!answers(i)) {
        if (!alive(i)) throw new IOException("node " + i + " ended before it was ready");
        if (System.nanoTime() > until)
          throw new IOException("node " + i + " not ready in " + READY_MS + " ms");
        Thread.sleep(LOOK_MS);
      }
    }
  }

  /**
   * A port that stays a node's for the whole run: bound here and never listened on, with the
   * address' use shared. Guards against a connection going out that is given a node's port before
   * its start, or while it is dead.
   */
  private int hold() throws IOException {
    Socket s = new Socket();
    s.setReuseAddress(true);
    s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    held.add(s);
    return s.getLocalPort();
  }

  public List<Integer> ports() {
    return ports;
  }

  public boolean alive(int i) {
    synchronized (processes) {
      return processes.get(i).isAlive();
    }
  }

  /** The process' id. */
  public long pid(int i) {
    synchronized (processes) {
      return processes.get(i).pid();
    }
  }

  private Process launch(int i, boolean old) throws IOException {
    Path config = program.dir.resolve("n" + i + ".json");
    Files.writeString(config, configs.apply(i, old).replace("\"listen\":\"127.0.0.1:0\"",
        "\"listen\":\"127.0.0.1:" + ports.get(i) + "\""));
    List<String> cmd = new ArrayList<>(List.of("java"));
    cmd.addAll(program.jvmFlags);
    cmd.addAll(List.of("-jar", program.jar.toString(), "serve"));
    ProcessBuilder pb = new ProcessBuilder(cmd).redirectErrorStream(true).redirectOutput(
        ProcessBuilder.Redirect.appendTo(program.dir.resolve("n" + i + ".log").toFile()));
    pb.environment().put("LB_CONFIG", config.toString());
    return pb.start();
  }

  /** Plays the schedule on a thread of its own; {@code faults} tells each step as it is done. */
  public void runTimeline(List<Timeline.Step> steps, LabClock clock, HistoryWriter faults) {
    director = new Thread(() -> {
      try {
        for (Timeline.Step s : steps) {
          double wait = s.atMs() - clock.nowMs();
          if (wait > 0) Thread.sleep((long) wait, (int) (wait % 1 * 1e6));
          if (closed) return;
          apply(s.action(), s.nodes());
          for (int n : s.nodes())
            faults.add("fault", "kind", s.action().name().toLowerCase(Locale.ROOT), "node",
                "n" + n);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (IOException e) {
        faults.add("fault_failed", "why", e.toString());
      }
    }, "lab-director");
    director.setDaemon(true);
    director.start();
  }

  /** Does it to all of them in one call, so that it is one instant. */
  public void apply(Action action, List<Integer> nodes) throws IOException, InterruptedException {
    synchronized (processes) {
      switch (action) {
        case KILL -> signal("-KILL", nodes);
        case TERM -> signal("-TERM", nodes);
        case STOP -> {
          signal("-STOP", nodes);
          stopped.addAll(nodes);
        }
        case CONT -> {
          signal("-CONT", nodes);
          nodes.forEach(stopped::remove);
        }
        default -> {
          for (int n : nodes) {
            Process old = processes.get(n);
            if (!old.waitFor(END_MS, TimeUnit.MILLISECONDS)) old.destroyForcibly().waitFor();
            processes.set(n, launch(n, action == Action.START_OLD));
          }
        }
      }
    }
  }

  private void signal(String which, List<Integer> nodes) throws IOException, InterruptedException {
    List<String> cmd = new ArrayList<>(List.of("kill", which));
    for (int n : nodes)
      if (processes.get(n).isAlive()) cmd.add(String.valueOf(processes.get(n).pid()));
    if (cmd.size() > 2) new ProcessBuilder(cmd).redirectErrorStream(true).start().waitFor();
  }

  private boolean answers(int i) {
    try {
      return ask(i, "*1\r\n$4\r\nPING\r\n") instanceof RespValue.Line l && l.type() == '+'
          && l.text().startsWith("PONG");
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * The node's INFO counters, with its CPU ms and resident KB from /proc; empty for one that is
   * gone or hangs.
   */
  public Map<String, Long> metrics(int i) {
    Map<String, Long> m = new LinkedHashMap<>();
    if (!alive(i) || stopped.contains(i)) return m;
    try {
      if (ask(i, "*1\r\n$4\r\nINFO\r\n") instanceof RespValue.Bulk info) {
        m.putAll(counters(info.text()));
      }
      long pid = processes.get(i).pid();
      String[] stat = Files.readString(Path.of("/proc/" + pid + "/stat")).split(" ", 0);
      // clock ticks of 10 ms
      m.put("process_cpu_ms", (Long.parseLong(stat[13]) + Long.parseLong(stat[14])) * 10);
      for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
        if (line.startsWith("VmRSS:"))
          m.put("rss_kb", Long.parseLong(line.replaceAll("[^0-9]", "")));
      }
    } catch (IOException e) {
      return m; // it ended meanwhile: what is there is told
    }
    return m;
  }

  /**
   * The counters of {@code INFO}, a {@code name=value} line each; words among the values are passed
   * over.
   */
  public static Map<String, Long> counters(String info) {
    Map<String, Long> m = new LinkedHashMap<>();
    for (String line : info.split("\n", 0)) {
      int eq = line.indexOf('=');
      String value = line.substring(eq + 1).trim();
      if (eq > 0 && value.matches("-?[0-9]{1,18}"))
        m.put(line.substring(0, eq), Long.parseLong(value));
    }
    return m;
  }

  /** What the node answers; null if it ends the connection before. */
  private RespValue ask(int i, String command) throws IOException {
    try (Socket s = new Socket(InetAddress.getLoopbackAddress(), ports.get(i))) {
      s.setSoTimeout(2_000);
      OutputStream out = s.getOutputStream();
      out.write(command.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      InputStream in = s.getInputStream();
      byte[] buf = new byte[16_384];
      RespDecoder reader = new RespDecoder();
      int n;
      while ((n = in.read(buf)) > 0) {
        reader.feed(Buffer.buffer(n).appendBytes(buf, 0, n));
        RespValue answer = reader.next();
        if (answer != null) return answer;
      }
      return null;
    } catch (FramingException e) {
      throw new IOException(e);
    }
  }

  private void free() {
    for (Socket s : held) {
      try {
        s.close();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
    held.clear();
  }

  /**
   * Ends what still runs, stopped ones too: SIGTERM, and SIGKILL for what does not end. Each by its
   * id.
   */
  @Override
  public void close() {
    closed = true;
    if (director != null) director.interrupt();
    for (int i = 0; i < processes.size(); i++) {
      if (stopped.contains(i)) processes.get(i).destroyForcibly();
      else processes.get(i).destroy();
    }
    try {
      for (Process p : processes) {
        if (!p.waitFor(END_MS, TimeUnit.MILLISECONDS)) p.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      processes.forEach(Process::destroyForcibly);
      Thread.currentThread().interrupt();
    }
    free();
  }
}
