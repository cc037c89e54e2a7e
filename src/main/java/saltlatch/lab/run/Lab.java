package saltlatch.lab.run;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.Control;
import saltlatch.lab.emulator.Emulator;
import saltlatch.lab.emulator.LabClock;
import saltlatch.lab.load.LoadRunner;
import saltlatch.lab.load.Outcome;
import saltlatch.lab.load.RunResult;
import saltlatch.lab.plan.Offered;
import saltlatch.lab.plan.Truth;
import saltlatch.lab.scenario.Scenario;
import saltlatch.node.Serve;

/**
 * One laboratory run: the emulator, {@code nodes} real edge nodes in this process (each its own Vert.x and event
 * loop, the same module as on the bench), the open-loop load, then the run file with its checks. The checks: no
 * double charge, no repeated non-replayable dispatch, every passed try ran at an app server, and the nodes' own
 * {@code answered_passed} agree with the clients' passed to the req (clients that left may have missed some).
 */
public final class Lab {
  private static final Logger LOG = LoggerFactory.getLogger(Lab.class);
  private static final long START_S = 30; // a node must be ready in this, as on the platform
  private static final Gson GSON = new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();

  private Lab() {}

  /** Where child nodes come from: the JVM flags of the {@code run} line, the jar, a directory for configs and logs. */
  public record Children(List<String> jvmFlags, Path jar, Path dir) {}

  /** One node, in this process or a child. */
  interface Node {
    int port();

    Map<String, Long> figures() throws Exception;

    void stop() throws Exception;
  }

  /** Runs the scenario with in-process nodes; {@code nodes} overrides its node count when above 0. */
  public static RunResult run(Scenario scenario, int nodes) throws Exception {
    return run(scenario, nodes, null);
  }

  /** Runs the scenario; nodes are child processes when {@code children} is given. */
  public static RunResult run(Scenario scenario, int nodes, Children children) throws Exception {
    Scenario s = nodes > 0 ? new Scenario(scenario.name(), scenario.seed(), scenario.seconds(), nodes,
        scenario.servers(), scenario.counter(), scenario.discovery(), scenario.peers(), scenario.load(),
        scenario.plan()) : scenario;
    LabClock clock = new LabClock();
    Emulator emulator = new Emulator(s, clock);
    emulator.start().toCompletionStage().toCompletableFuture().get(START_S, TimeUnit.SECONDS);
    List<Node> started = new ArrayList<>();
    LoadRunner load = null;
    try {
      if (children != null) Files.createDirectories(children.dir());
      for (int i = 0; i < s.nodes(); i++) started.add(children == null ? embedded(emulator.nodeConfig(i))
          : ChildNode.start(emulator.nodeConfig(i), children.jvmFlags(), children.jar(), children.dir(), i));
      List<Integer> ports = started.stream().map(Node::port).toList();
      List<Offered.Arrival> schedule = Offered.of(s);
      LOG.info("{}: {} nodes, {} app servers, {} reqs offered over {} s", s.name(), s.nodes(), s.servers().count(),
          schedule.size(), s.seconds());
      OperatingSystemMXBean os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
      long cpuBefore = os.getProcessCpuTime();
      load = new LoadRunner(s, schedule, ports, clock);
      load.run().toCompletionStage().toCompletableFuture()
          .get((long) (s.seconds() + s.load().deadlineMs() / 1000 + START_S), TimeUnit.SECONDS);
      double cpu = (os.getProcessCpuTime() - cpuBefore) / 1e9;
      List<Map<String, Long>> nodeCounters = new ArrayList<>();
      for (Node n : started) nodeCounters.add(n.figures());
      LoadRunner l = load;
      RunResult.Truth truth = emulator.read(t -> truth(t, l.passedIds(), s)).toCompletionStage().toCompletableFuture()
          .get(5, TimeUnit.SECONDS);
      List<RunResult.Customer> customers = emulator.read(t -> customers(t, s)).toCompletionStage()
          .toCompletableFuture().get(5, TimeUnit.SECONDS);
      Map<String, Long> emu = emulator.figures().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
      RunResult.Process process = new RunResult.Process(cpu, rssMb(), Thread.activeCount());
      List<RunResult.Check> checks = checks(truth, load, nodeCounters);
      return new RunResult(s.name(), s.json(), s.seed(), Offered.digest(schedule), s.seconds(), s.nodes(),
          s.servers().count(), schedule.size(), load.tries(), load.outcomes(), load.retryAfter(), load.deniedWithRoom(),
          load.latency(), load.senderLate(), load.perSecond(), truth, emu, nodeCounters, customers, process, checks);
    } finally {
      for (Node n : started) n.stop();
      if (load != null) load.close();
      emulator.stop();
    }
  }

  private static Node embedded(String config) throws Exception {
    Serve.Embedded e = Serve.embedded(Control::new, config).toCompletionStage().toCompletableFuture()
        .get(START_S, TimeUnit.SECONDS);
    return new Node() {
      @Override
      public int port() {
        return e.port();
      }

      @Override
      public Map<String, Long> figures() throws Exception {
        Map<String, Long> m = parse(e.figures().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS));
        m.put("loop_cpu_ms", e.loopCpuNanos().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS)
            / 1_000_000);
        return m;
      }

      @Override
      public void stop() throws Exception {
        e.stop().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
      }
    };
  }

  /** Writes the run as JSON. */
  public static void write(RunResult r, Path to) throws IOException {
    Files.writeString(to, GSON.toJson(r));
  }

  /** Reads a run file back. */
  public static RunResult read(Path from) throws IOException {
    return GSON.fromJson(Files.readString(from), RunResult.class);
  }

  static RunResult.Truth truth(Truth t, List<String> passedIds, Scenario s) {
    Truth.Sums sums = t.sums();
    long notRun = 0;
    for (String id : passedIds) {
      Truth.Seen seen = t.seen(id);
      if (seen == null || seen.served == 0) notRun++;
    }
    double beyond = 0;
    for (double b : t.beyondPlan(s.plan().rate(), s.plan().burst()).values()) beyond += Math.max(0, b);
    return new RunResult.Truth(sums.reqs(), sums.dispatches(), sums.served(), sums.unitsCharged(),
        sums.doubleCharges(), sums.repeatedNonReplayable(), notRun, beyond);
  }

  static List<RunResult.Customer> customers(Truth t, Scenario s) {
    Map<Long, Double> beyond = t.beyondPlan(s.plan().rate(), s.plan().burst());
    List<RunResult.Customer> out = new ArrayList<>();
    for (long c : t.heaviest(8)) {
      out.add(new RunResult.Customer(c, t.perSecond(c), s.plan().rate(), s.plan().burst(), beyond.getOrDefault(c, 0.0)));
    }
    return out;
  }

  static List<RunResult.Check> checks(RunResult.Truth truth, LoadRunner load, List<Map<String, Long>> nodes) {
    List<RunResult.Check> out = new ArrayList<>();
    out.add(new RunResult.Check("no double charge", truth.doubleCharges() == 0,
        truth.doubleCharges() + " reqs charged twice at app servers"));
    out.add(new RunResult.Check("no repeated non-replayable dispatch", truth.repeatedNonReplayable() == 0,
        truth.repeatedNonReplayable() + " repeated dispatches of non-replayable reqs"));
    out.add(new RunResult.Check("every passed try ran", truth.passedNotRun() == 0,
        truth.passedNotRun() + " passed tries that no app server ran"));
    long nodePassed = nodes.stream().mapToLong(m -> m.getOrDefault("answered_passed", 0L)).sum();
    long clientPassed = load.outcomes().get(Outcome.PASSED);
    long unseen = load.outcomes().get(Outcome.LEFT) + load.outcomes().get(Outcome.TIMED_OUT)
        + load.outcomes().get(Outcome.BROKEN);
    out.add(new RunResult.Check("nodes and clients agree on passed", nodePassed >= clientPassed
        && nodePassed - clientPassed <= unseen, "nodes " + nodePassed + ", clients " + clientPassed
        + ", of which clients could have missed " + unseen));
    return out;
  }

  static Map<String, Long> parse(String figures) {
    Map<String, Long> m = new LinkedHashMap<>();
    for (String line : figures.split("\n")) {
      int eq = line.indexOf('=');
      if (eq > 0) m.put(line.substring(0, eq), Long.parseLong(line.substring(eq + 1).trim()));
    }
    return m;
  }

  private static double rssMb() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
        if (line.startsWith("VmRSS:")) return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
      }
    } catch (IOException | RuntimeException e) {
      return -1;
    }
    return -1;
  }
}
