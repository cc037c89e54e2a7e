package saltlatch.lab.run;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.history.HistoryWriter;
import saltlatch.lab.check.HistoryEvent;
import saltlatch.lab.check.MemberTimes;
import saltlatch.lab.check.Properties;
import saltlatch.lab.check.Property;
import saltlatch.lab.check.Recovery;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.emulator.Emulator;
import saltlatch.lab.load.LoadRunner;
import saltlatch.lab.load.Outcome;
import saltlatch.lab.load.RunResult;
import saltlatch.lab.plan.GroundTruth;
import saltlatch.lab.plan.Links;
import saltlatch.lab.plan.OpenLoopSchedule;
import saltlatch.lab.plan.RandomFaults;
import saltlatch.lab.plan.Timeline;
import saltlatch.lab.rig.LinkProxies;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.scenario.Group;
import saltlatch.lab.scenario.Scenario;
import saltlatch.node.EmbeddedNode;
import saltlatch.policy.PolicyEngine;

/**
 * One laboratory run: the emulator, {@code nodes} real edge nodes in this process (each its own
 * Vert.x and event loop, the same module as on the bench), the open-loop load, then the run file
 * with its checks. The checks: no double charge, no repeated non-replayable dispatch, every passed
 * try ran at an app server, and the nodes' own {@code answered_passed} agree with the clients'
 * passed to the req (clients that left may have missed some).
 */
public final class Lab {
  private static final Logger LOG = LoggerFactory.getLogger(Lab.class);
  // a fault explains what ends so long after it: a start, a client timeout
  private static final double SLACK_MS = 5_000;
  private static final double AFTER_S = 2; // what a fault cost shows up to so long after its end
  private static final long START_S = 30; // a node must be ready in this, as on the platform
  private static final Gson GSON = new GsonBuilder().setPrettyPrinting().disableHtmlEscaping()
      .create();

  private Lab() {}

  /** One node, in this process or a child. */
  interface Node {
    int port();

    Map<String, Long> metrics() throws Exception;

    void stop() throws Exception;
  }

  /**
   * Runs the scenario with in-process nodes; {@code nodes} overrides its node count when above 0.
   */
  public static RunResult run(Scenario scenario, int nodes) throws Exception {
    return run(scenario, nodes, null);
  }

  /**
   * Runs the scenario; nodes are child processes when {@code program} is given, with histories in
   * its directory.
   */
  public static RunResult run(Scenario scenario, int nodes, Processes.Program program)
      throws Exception {
    Scenario s = RandomFaults.addTo(nodes > 0 ? scenario.withNodes(nodes) : scenario);
    if (program == null && !s.processes().faults().isEmpty()) {
      throw new IllegalArgumentException("scenario: faults on processes want --processes");
    }
    LabClock clock = LabClock.waiting();
    Path dir = program == null ? null : program.dir().resolve("history");
    if (dir != null) emptied(dir);
    HistoryWriter standIns = dir == null ? null : new HistoryWriter(dir, "stand-ins", "1");
    HistoryWriter clients = dir == null ? null : new HistoryWriter(dir, "clients", "1");
    HistoryWriter director = dir == null ? null : new HistoryWriter(dir, "director", "1");
    LinkProxies relays = s.links().faults().isEmpty() ? null
        : new LinkProxies(new Links(s.links().faults(), s.seed()), clock);
    Emulator emulator = new Emulator(s, clock, relays, standIns,
        dir == null ? null : dir.toAbsolutePath().toString());
    Processes processes = program == null ? null : new Processes(program, emulator::nodeConfig);
    emulator.start().toCompletionStage().toCompletableFuture().get(START_S, TimeUnit.SECONDS);
    List<Node> started = new ArrayList<>();
    LoadRunner load = null;
    try {
      if (processes != null) processes.start(s.nodes());
      for (int i = 0; i < s.nodes(); i++)
        started.add(processes == null ? embedded(emulator.nodeConfig(i)) : child(processes, i));
      List<Integer> ports = new ArrayList<>();
      for (int i = 0; i < s.nodes(); i++) {
        int port = started.get(i).port();
        ports.add(relays == null ? port : relays.port("clients", "n" + i, port));
      }
      List<OpenLoopSchedule.Arrival> schedule = OpenLoopSchedule.of(s);
      LOG.info("{}: {} nodes, {} app servers, {} reqs offered over {} s", s.name(), s.nodes(),
          s.servers().count(), schedule.size(), s.seconds());
      OperatingSystemMXBean os = (OperatingSystemMXBean) ManagementFactory
          .getOperatingSystemMXBean();
      long cpuBefore = os.getProcessCpuTime();
      load = new LoadRunner(s, schedule, ports, clock, clients);
      load.ready().toCompletionStage().toCompletableFuture().get(START_S, TimeUnit.SECONDS);
      clock.begin();
      List<RunResult.Fault> faults = faults(s);
      if (processes != null) {
        for (RunResult.Fault f : faults) for (String node : f.nodes()) {
          director.add("planned", "what", f.what(), "node", node, "from_ns",
              clock.monoNs(f.fromS() * 1000), "until_ns", clock.monoNs(f.untilS() * 1000));
        }
        processes.runTimeline(Timeline.of(s.processes().faults(), s.nodes()), clock, director);
      }
      load.run().toCompletionStage().toCompletableFuture()
          .get((long) (s.seconds() + s.load().deadlineMs() / 1000 + START_S), TimeUnit.SECONDS);
      double cpu = (os.getProcessCpuTime() - cpuBefore) / 1e9;
      List<Map<String, Long>> nodeCounters = new ArrayList<>();
      for (Node n : started) nodeCounters.add(n.metrics());
      LoadRunner l = load;
      RunResult.GroundTruth truth = emulator.read(t -> truth(t, l.passedIds(), s))
          .toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
      List<RunResult.Customer> customers = emulator.read(t -> customers(t, s)).toCompletionStage()
          .toCompletableFuture().get(5, TimeUnit.SECONDS);
      Map<String, Long> emu = emulator.metrics().toCompletionStage().toCompletableFuture().get(5,
          TimeUnit.SECONDS);
      RunResult.ProcessUsage process = new RunResult.ProcessUsage(cpu, rssMb(),
          Thread.activeCount());
      List<RunResult.Check> checks = checks(truth, load, nodeCounters, !faults.isEmpty());
      if (processes != null) processes.close();
      List<HistoryEvent> history = dir == null ? List.of() : HistoryEvent.readAll(dir);
      List<String> violations = new ArrayList<>();
      if (dir != null) {
        Set<String> told = new java.util.TreeSet<>(
            history.stream().map(HistoryEvent::name).toList());
        boolean all = told.containsAll(List.of("clients", "stand-ins"));
        checks.add(new RunResult.Check("histories were kept", all, "of " + told));
      }
      for (Property p : properties(s)) {
        List<Property.Violation> found = p.check(history);
        if (dir != null) checks.add(new RunResult.Check(p.name(), found.isEmpty(),
            found.size() + " violations in " + history.size() + " events"
                + (found.isEmpty() ? "" : ", first: " + found.get(0).what())));
        for (Property.Violation v : found)
          violations.add(v.property() + ": " + v.what() + " "
              + v.evidence().stream().map(HistoryEvent::at).toList());
      }
      if (dir != null) faults = faults.stream()
          .map(f -> new RunResult.Fault(f.what(), f.nodes(), f.fromS(), f.untilS(),
              Recovery.beyond(history, s.plan().rate(), s.plan().burst(),
                  clock.monoNs(f.fromS() * 1000), clock.monoNs((f.untilS() + AFTER_S) * 1000))))
          .toList();
      double recovery = faults.isEmpty() || dir == null ? 0 : Recovery.seconds(history,
          clock.monoNs(0), faults.get(0).fromS(), s.seconds(), survivors(s));
      return new RunResult(s.name(), s.json(), s.seed(), OpenLoopSchedule.digest(schedule),
          s.seconds(), s.nodes(), s.servers().count(), schedule.size(), load.attempts(),
          load.outcomes(), load.retryAfter(), load.deniedWithRoom(), load.latency(),
          load.senderLate(), load.perSecond(), truth, emu, nodeCounters, customers, process, checks,
          faults, relays == null ? Map.of() : relays.delayUs(), violations, recovery,
          MemberTimes.of(history));
    } finally {
      if (processes != null) processes.close();
      for (Node n : started) n.stop();
      if (load != null) load.close();
      if (relays != null) relays.close();
      emulator.stop();
      for (HistoryWriter h : new HistoryWriter[] {standIns, clients, director})
        if (h != null) h.close();
    }
  }

  /** The properties a run's history is checked for. */
  public static List<Property> properties(Scenario s) {
    List<Property> all = new ArrayList<>(
        List.of(new Properties.AnsweredOnce(), new Properties.Answered(),
            new Properties.LostOnlyByFaults(s.front().noticeS() * 1000 + SLACK_MS),
            new Properties.NotRepeated(), new Properties.PassedRan(),
            new Properties.SharesWithinQuota()));
    if (s.bounds().beyondUnits() > 0) {
      all.add(
          new Properties.WithinQuota(s.plan().rate(), s.plan().burst(), s.bounds().beyondUnits()));
    }
    return all;
  }

  /**
   * The schedule's faults on processes, links and app servers, and the nodes whose clients they may
   * cost an answer.
   */
  static List<RunResult.Fault> faults(Scenario s) {
    List<RunResult.Fault> out = new ArrayList<>();
    for (Scenario.ProcessFault f : s.processes().faults()) {
      List<Integer> hit = Group.of(f.nodes()).nodes(s.nodes());
      for (int i = 0; i < hit.size(); i++) {
        double from = f.atS() + i * f.stepS();
        double lasts = f.kind().equals("pause") ? f.forS() > 0 ? f.forS() : s.seconds()
            : f.restart() ? f.backS() : 0;
        out.add(new RunResult.Fault(f.kind() + (f.restart() ? ", restart" : ""),
            List.of("n" + hit.get(i)), from, from + lasts, 0));
      }
    }
    for (Scenario.LinkFault f : s.links().faults()) {
      List<String> names = new ArrayList<>();
      for (int n = 0; n < s.nodes(); n++) {
        if (Group.of(f.from()).holds("n" + n) || Group.of(f.to()).holds("n" + n))
          names.add("n" + n);
      }
      out.add(new RunResult.Fault(f.kind() + " " + f.from() + (f.oneWay() ? " > " : " - ") + f.to(),
          names, f.atS(), end(f.atS(), f.forS(), s), 0));
    }
    for (Scenario.Fault f : s.servers().faults()) {
      if (f.kind().equals("idle_close")) continue;
      out.add(new RunResult.Fault("app servers " + f.kind(), List.of("all"), f.atS(),
          end(f.atS(), f.forS(), s), 0));
    }
    out.sort(java.util.Comparator.comparingDouble(RunResult.Fault::fromS));
    return out;
  }

  /** When a fault on links or app servers ends: with the run where it has no length of its own. */
  private static double end(double atS, double forS, Scenario s) {
    return forS > 0 ? atS + forS : s.seconds();
  }

  /** The nodes that no fault on processes ends or stops. */
  private static Set<String> survivors(Scenario s) {
    Set<String> out = new java.util.TreeSet<>();
    for (int i = 0; i < s.nodes(); i++) {
      String node = "n" + i;
      if (s.processes().faults().stream().noneMatch(f -> Group.of(f.nodes()).holds(node)))
        out.add(node);
    }
    return out;
  }

  private static void emptied(Path dir) throws IOException {
    Files.createDirectories(dir);
    try (var old = Files.list(dir)) {
      for (Path p : old.toList()) Files.delete(p);
    }
  }

  private static Node child(Processes processes, int i) {
    return new Node() {
      @Override
      public int port() {
        return processes.ports().get(i);
      }

      @Override
      public Map<String, Long> metrics() {
        return processes.metrics(i);
      }

      @Override
      public void stop() {} // all are ended together
    };
  }

  private static Node embedded(String config) throws Exception {
    EmbeddedNode e = EmbeddedNode.start(PolicyEngine::new, config).toCompletionStage()
        .toCompletableFuture().get(START_S, TimeUnit.SECONDS);
    return new Node() {
      @Override
      public int port() {
        return e.port();
      }

      @Override
      public Map<String, Long> metrics() throws Exception {
        Map<String, Long> m = Processes.counters(
            e.infoText().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS));
        m.put("loop_cpu_ms",
            e.loopCpuNanos().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS)
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

  static RunResult.GroundTruth truth(GroundTruth t, List<String> passedIds, Scenario s) {
    GroundTruth.Totals totals = t.totals();
    long notRun = 0;
    for (String id : passedIds) {
      GroundTruth.TrackedRequest request = t.request(id);
      if (request == null || request.served == 0) notRun++;
    }
    double beyond = 0;
    for (double b : t.overshoot(s.plan().rate(), s.plan().burst()).values())
      beyond += Math.max(0, b);
    return new RunResult.GroundTruth(totals.requests(), totals.attempts(), totals.served(),
        totals.unitsCharged(), totals.doubleCharges(), totals.repeatedNonReplayable(), notRun,
        beyond);
  }

  static List<RunResult.Customer> customers(GroundTruth t, Scenario s) {
    Map<Long, Double> beyond = t.overshoot(s.plan().rate(), s.plan().burst());
    List<RunResult.Customer> out = new ArrayList<>();
    for (long c : t.heaviest(8)) {
      out.add(new RunResult.Customer(c, t.unitsPerSecond(c), s.plan().rate(), s.plan().burst(),
          beyond.getOrDefault(c, 0.0)));
    }
    return out;
  }

  static List<RunResult.Check> checks(RunResult.GroundTruth truth, LoadRunner load,
      List<Map<String, Long>> nodes, boolean faults) {
    List<RunResult.Check> out = new ArrayList<>();
    // A replayable req may run again after a dispatch that a fault cut off; its units are a figure
    // then, not a check.
    out.add(new RunResult.Check("no double charge", faults || truth.doubleCharges() == 0,
        truth.doubleCharges() + " reqs charged twice at app servers"));
    out.add(new RunResult.Check("no repeated non-replayable dispatch",
        truth.repeatedNonReplayable() == 0,
        truth.repeatedNonReplayable() + " repeated dispatches of non-replayable reqs"));
    out.add(new RunResult.Check("every passed try ran", truth.passedNotRun() == 0,
        truth.passedNotRun() + " passed tries that no app server ran"));
    // a node that was killed tells no figures: the histories are checked instead
    if (faults) return out;
    long nodePassed = nodes.stream().mapToLong(m -> m.getOrDefault("answered_passed", 0L)).sum();
    long clientPassed = load.outcomes().get(Outcome.PASSED);
    long unseen = load.outcomes().get(Outcome.LEFT) + load.outcomes().get(Outcome.TIMED_OUT)
        + load.outcomes().get(Outcome.BROKEN);
    out.add(new RunResult.Check("nodes and clients agree on passed",
        nodePassed >= clientPassed && nodePassed - clientPassed <= unseen, "nodes " + nodePassed
            + ", clients " + clientPassed + ", of which clients could have missed " + unseen));
    return out;
  }

  private static double rssMb() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
        if (line.startsWith("VmRSS:"))
          return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
      }
    } catch (IOException | RuntimeException e) {
      return -1;
    }
    return -1;
  }
}
