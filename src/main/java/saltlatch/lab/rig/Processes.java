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
 * Runs edge nodes as child processes and injects the process faults of a schedule. Each child runs
 * {@code java FLAGS -jar JAR serve} with the JVM flags of the {@code run} line in the deployment
 * file. Faults kill, stop, continue or terminate the process of a node by its process id, or
 * restart the node with the same name, address and configuration (or with an older configuration).
 * Metrics come from {@code INFO}, CPU time and resident set size from {@code /proc}. This class
 * does not work on the platform of the benchmark, which allows one process and no fork.
 */
public final class Processes implements AutoCloseable {
  // The platform of the benchmark also requires that a node answers PING within 30 s.
  private static final long READY_MS = 30_000;
  private static final long TERMINATION_MS = 10_000; // a node needs up to 3.7 s after SIGTERM
  private static final long POLL_MS = 50; // interval between PINGs until a node is ready
  private static final int ANSWER_TIMEOUT_MS = 2_000; // for each read of a reply

  /**
   * The program that the child processes run.
   *
   * @param jvmFlags JVM flags of the {@code run} line in the deployment file
   * @param jar jar file that contains the nodes' main class
   * @param dir directory for the nodes' configurations and logs and for the run's histories
   * @param prefix words in front of the command that starts a node; may be empty
   */
  public record Program(List<String> jvmFlags, Path jar, Path dir, List<String> prefix) {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"exec java (.*?) -jar ");

    /**
     * Returns a program with the JVM flags of the {@code run} line in the deployment file. The flag
     * {@code -XX:SharedArchiveFile} is omitted, because a class archive is valid only for the jar
     * file from which it was created.
     *
     * @param balancer the deployment file
     * @throws IOException if the file has no {@code run} line that starts a jar with java
     */
    public static Program of(Path balancer, Path jar, Path dir) throws IOException {
      Matcher runLine = RUN.matcher(Files.readString(balancer));
      if (!runLine.find())
        throw new IOException("expected a line run = \"exec java ... -jar ...\" in " + balancer);
      String tempDir = System.getenv().getOrDefault("TMPDIR", "/tmp");
      return new Program(List.of(runLine.group(1).replaceAll(" -XX:SharedArchiveFile=\\S+", "")
          .replace("${TMPDIR:-/tmp}", tempDir).split(" ", 0)), jar, dir, List.of());
    }

    /** Returns a copy whose nodes are started by {@code WORDS java ...}. */
    public Program withPrefix(List<String> words) {
      return new Program(jvmFlags, jar, dir, words);
    }
  }

  private final Program program;
  // returns a node's configuration; arguments: node number, and whether to return the older one
  private final BiFunction<Integer, Boolean, String> configs;
  private final List<Process> processes = new ArrayList<>();
  private final List<Integer> ports = new ArrayList<>();
  private final Set<Integer> stopped = ConcurrentHashMap.newKeySet();
  private final List<Socket> portReservations = new ArrayList<>();
  private Thread faultInjector;
  private volatile boolean closed;

  /**
   * Prepares the processes; {@link #start} starts them.
   *
   * @param configs returns the configuration of a node; the arguments are the node number and
   *     whether to return the older configuration
   */
  public Processes(Program program, BiFunction<Integer, Boolean, String> configs) {
    this.program = program;
    this.configs = configs;
  }

  /** Starts all nodes, and then waits until each of them has answered PING. */
  public void start(int nodeCount) throws IOException, InterruptedException {
    Files.createDirectories(program.dir);
    // Without this hook, the nodes would continue to run after a signal such as SIGTERM has ended
    // the laboratory's JVM, and would occupy ports and CPU cores.
    Runtime.getRuntime().addShutdownHook(
        new Thread(() -> List.copyOf(processes).forEach(Process::destroyForcibly)));
    for (int node = 0; node < nodeCount; node++) {
      ports.add(reservePort());
      processes.add(launch(node, false));
    }
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
    for (int node = 0; node < nodeCount; node++) awaitReady(node, deadline);
  }

  /**
   * Waits until a node that was started again answers PING.
   *
   * @throws IOException if the node ends before, or does not answer within 30 s
   */
  public void awaitReady(int node) throws IOException, InterruptedException {
    awaitReady(node, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS));
  }

  private void awaitReady(int node, long deadlineNanos) throws IOException, InterruptedException {
    while (!answersPing(node)) {
      if (!alive(node)) throw new IOException("node " + node + " ended before it answered PING");
      if (System.nanoTime() > deadlineNanos)
        throw new IOException("node " + node + " did not answer PING within " + READY_MS + " ms");
      Thread.sleep(POLL_MS);
    }
  }

  /**
   * Reserves a port for a node until {@link #close}. The reservation is a socket that is bound to
   * the port with {@code SO_REUSEADDR} and never listens. Without it, the kernel could assign the
   * port to an outgoing connection before the node starts or while the node is down.
   */
  private int reservePort() throws IOException {
    Socket reservation = new Socket();
    reservation.setReuseAddress(true);
    reservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    portReservations.add(reservation);
    return reservation.getLocalPort();
  }

  /** Returns the port of each node; the index is the node number. */
  public List<Integer> ports() {
    return ports;
  }

  /** Returns whether the node's process exists; true also for a process stopped by SIGSTOP. */
  public boolean alive(int node) {
    synchronized (processes) {
      return processes.get(node).isAlive();
    }
  }

  /** Returns the id of the node's process. */
  public long pid(int node) {
    synchronized (processes) {
      return processes.get(node).pid();
    }
  }

  private Process launch(int node, boolean olderConfig) throws IOException {
    Path config = program.dir.resolve("n" + node + ".json");
    Files.writeString(config, configs.apply(node, olderConfig).replace("\"listen\":\"127.0.0.1:0\"",
        "\"listen\":\"127.0.0.1:" + ports.get(node) + "\""));
    List<String> command = new ArrayList<>(program.prefix);
    command.add("java");
    command.addAll(program.jvmFlags);
    command.addAll(List.of("-jar", program.jar.toString(), "serve"));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(
        ProcessBuilder.Redirect.appendTo(program.dir.resolve("n" + node + ".log").toFile()));
    builder.environment().put("LB_CONFIG", config.toString());
    return builder.start();
  }

  /**
   * Starts a thread that applies each step of the schedule at its time.
   *
   * @param faults receives an event for each node of a step after the step has been applied
   */
  public void runTimeline(List<Timeline.Step> steps, LabClock clock, HistoryWriter faults) {
    faultInjector = new Thread(() -> {
      try {
        for (Timeline.Step step : steps) {
          double waitMs = step.atMs() - clock.nowMs();
          if (waitMs > 0) Thread.sleep((long) waitMs, (int) (waitMs % 1 * 1e6));
          if (closed) return;
          apply(step.action(), step.nodes());
          for (int node : step.nodes())
            faults.add("fault", "kind", step.action().name().toLowerCase(Locale.ROOT), "node",
                "n" + node);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (IOException e) {
        faults.add("fault_failed", "why", e.toString());
      }
    }, "lab-director");
    faultInjector.setDaemon(true);
    faultInjector.start();
  }

  /**
   * Applies an action to the given nodes. One command sends a signal to all of them, so that they
   * receive it at almost the same time.
   */
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
          for (int node : nodes) {
            Process previous = processes.get(node);
            if (!previous.waitFor(TERMINATION_MS, TimeUnit.MILLISECONDS))
              previous.destroyForcibly().waitFor();
            processes.set(node, launch(node, action == Action.START_OLD));
          }
        }
      }
    }
  }

  /** Sends SIGHUP to the given nodes, so that they read their configuration again. */
  public void reload(List<Integer> nodes) throws IOException, InterruptedException {
    synchronized (processes) {
      signal("-HUP", nodes);
    }
  }

  private void signal(String signalOption, List<Integer> nodes)
      throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(List.of("kill", signalOption));
    for (int node : nodes) {
      Process process = processes.get(node);
      if (process.isAlive()) command.add(String.valueOf(process.pid()));
    }
    if (command.size() > 2) new ProcessBuilder(command).redirectErrorStream(true).start().waitFor();
  }

  private boolean answersPing(int node) {
    try {
      return sendCommand(node, "*1\r\n$4\r\nPING\r\n") instanceof RespValue.Line line
          && line.type() == '+' && line.text().startsWith("PONG");
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Returns the node's INFO counters, and its CPU time in ms and resident set size in KB from
   * {@code /proc}. The map is empty if the process has ended or is stopped, and incomplete if the
   * process fails to answer or ends during the call.
   */
  public Map<String, Long> metrics(int node) {
    Map<String, Long> metrics = new LinkedHashMap<>();
    if (!alive(node) || stopped.contains(node)) return metrics;
    try {
      if (sendCommand(node, "*1\r\n$4\r\nINFO\r\n") instanceof RespValue.Bulk info) {
        metrics.putAll(counters(info.text()));
      }
      long pid = processes.get(node).pid();
      String[] stat = Files.readString(Path.of("/proc/" + pid + "/stat")).split(" ", 0);
      // Fields 14 and 15 are user and system time in clock ticks of 10 ms.
      metrics.put("process_cpu_ms", (Long.parseLong(stat[13]) + Long.parseLong(stat[14])) * 10);
      for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
        if (line.startsWith("VmRSS:"))
          metrics.put("rss_kb", Long.parseLong(line.replaceAll("[^0-9]", "")));
      }
    } catch (IOException e) {
      return metrics; // incomplete: the process has ended or does not answer
    }
    return metrics;
  }

  /**
   * Parses the counters of an {@code INFO} reply, which has a {@code name=value} line for each
   * counter. Skips a line if its value is not an integer of at most 18 digits.
   */
  public static Map<String, Long> counters(String info) {
    Map<String, Long> counters = new LinkedHashMap<>();
    for (String line : info.split("\n", 0)) {
      int separator = line.indexOf('=');
      String value = line.substring(separator + 1).trim();
      if (separator > 0 && value.matches("-?[0-9]{1,18}"))
        counters.put(line.substring(0, separator), Long.parseLong(value));
    }
    return counters;
  }

  /** Sends a command and returns the reply, or null if the node closes the connection first. */
  private RespValue sendCommand(int node, String command) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports.get(node))) {
      socket.setSoTimeout(ANSWER_TIMEOUT_MS);
      OutputStream out = socket.getOutputStream();
      out.write(command.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[16_384];
      RespDecoder decoder = new RespDecoder();
      int bytesRead;
      while ((bytesRead = in.read(buffer)) > 0) {
        decoder.feed(Buffer.buffer(bytesRead).appendBytes(buffer, 0, bytesRead));
        RespValue reply = decoder.next();
        if (reply != null) return reply;
      }
      return null;
    } catch (FramingException e) {
      throw new IOException(e);
    }
  }

  private void releasePorts() {
    for (Socket reservation : portReservations) {
      try {
        reservation.close();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
    portReservations.clear();
  }

  /**
   * Ends all processes and releases their ports. Sends SIGTERM to each process, and SIGKILL if it
   * does not end within 10 s. Sends SIGKILL at once to a process that is stopped by SIGSTOP.
   */
  @Override
  public void close() {
    closed = true;
    if (faultInjector != null) faultInjector.interrupt();
    for (int node = 0; node < processes.size(); node++) {
      if (stopped.contains(node)) processes.get(node).destroyForcibly();
      else processes.get(node).destroy();
    }
    try {
      for (Process process : processes) {
        if (!process.waitFor(TERMINATION_MS, TimeUnit.MILLISECONDS))
          process.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      processes.forEach(Process::destroyForcibly);
      Thread.currentThread().interrupt();
    }
    releasePorts();
  }
}
