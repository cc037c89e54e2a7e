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
 * Performs a laboratory run: starts the emulator and real edge nodes, offers the open-loop load,
 * and returns the result with its checks. The nodes run in this process, each with a separate
 * Vert.x instance and event loop and the same module as on the bench, or as child processes.
 *
 * <p>
 * The checks are: no double charge; no repeated attempt of a non-retriable request; every succeeded
 * attempt ran at an app server; and the nodes' {@code answered_passed} equals the clients' number
 * of succeeded requests, except for answers that clients may have missed because they left, timed
 * out or lost the connection. The histories of child processes are checked for {@link #properties}.
 */
public final class Lab {
  private static final Logger LOG = LoggerFactory.getLogger(Lab.class);
  // a fault explains a missing answer this long after its end: a node start, a client time-out
  private static final double FAULT_SLACK_MS = 5_000;
  // units charged up to this long after the end of a fault count as its cost
  private static final double COST_DELAY_S = 2;
  private static final long START_TIMEOUT_S = 30; // for a node to become ready, as on the platform
  private static final long CALL_TIMEOUT_S = 5; // for a call to an event loop
  private static final long STOP_TIMEOUT_S = 10; // for an embedded node
  private static final int HEAVIEST_CUSTOMERS = 8; // customers in the run file
  private static final Gson GSON = new GsonBuilder().setPrettyPrinting().disableHtmlEscaping()
      .create();

  private Lab() {}

  /** An edge node in this process or in a child process. */
  interface Node {
    int port();

    Map<String, Long> metrics() throws Exception;

    void stop() throws Exception;
  }

  /**
   * Runs the scenario with nodes in this process.
   *
   * @param nodes number of nodes, or 0 for the scenario's number
   */
  public static RunResult run(Scenario scenario, int nodes) throws Exception {
    return run(scenario, nodes, null);
  }

  /**
   * Runs the scenario.
   *
   * @param nodes number of nodes, or 0 for the scenario's number
   * @param program program of the child processes, which write histories to its directory, or null
   *     for nodes in this process
   * @throws IllegalArgumentException if the scenario has process faults and the nodes run in this
   *     process
   */
  public static RunResult run(Scenario requested, int nodes, Processes.Program program)
      throws Exception {
    Scenario scenario = RandomFaults.addTo(nodes > 0 ? requested.withNodes(nodes) : requested);
    if (program == null && !scenario.processes().faults().isEmpty()) {
      throw new IllegalArgumentException(
          "scenario: faults on processes require --processes, which is not set");
    }
    LabClock clock = LabClock.waiting();
    Path historyDir = program == null ? null : program.dir().resolve("history");
    if (historyDir != null) createEmpty(historyDir);
    HistoryWriter emulatorHistory = historyDir == null ? null
        : new HistoryWriter(historyDir, "stand-ins", "1");
    HistoryWriter clientHistory = historyDir == null ? null
        : new HistoryWriter(historyDir, "clients", "1");
    HistoryWriter faultHistory = historyDir == null ? null
        : new HistoryWriter(historyDir, "director", "1");
    LinkProxies linkProxies = scenario.links().faults().isEmpty() ? null
        : new LinkProxies(new Links(scenario.links().faults(), scenario.seed()), clock);
    Emulator emulator = new Emulator(scenario, clock, linkProxies, emulatorHistory,
        historyDir == null ? null : historyDir.toAbsolutePath().toString());
    Processes processes = program == null ? null : new Processes(program, emulator::nodeConfig);
    emulator.start().toCompletionStage().toCompletableFuture().get(START_TIMEOUT_S,
        TimeUnit.SECONDS);
    List<Node> startedNodes = new ArrayList<>();
    LoadRunner loadRunner = null;
    try {
      if (processes != null) processes.start(scenario.nodes());
      for (int i = 0; i < scenario.nodes(); i++)
        startedNodes
            .add(processes == null ? embedded(emulator.nodeConfig(i)) : child(processes, i));
      List<Integer> ports = new ArrayList<>();
      for (int i = 0; i < scenario.nodes(); i++) {
        int port = startedNodes.get(i).port();
        ports.add(linkProxies == null ? port : linkProxies.port("clients", "n" + i, port));
      }
      List<OpenLoopSchedule.Arrival> schedule = OpenLoopSchedule.of(scenario);
      LOG.info("{}: {} nodes, {} app servers, {} requests offered over {} s", scenario.name(),
          scenario.nodes(), scenario.servers().count(), schedule.size(), scenario.seconds());
      OperatingSystemMXBean operatingSystem = (OperatingSystemMXBean) ManagementFactory
          .getOperatingSystemMXBean();
      long cpuNanosBefore = operatingSystem.getProcessCpuTime();
      loadRunner = new LoadRunner(scenario, schedule, ports, clock, clientHistory);
      loadRunner.ready().toCompletionStage().toCompletableFuture().get(START_TIMEOUT_S,
          TimeUnit.SECONDS);
      clock.begin();
      List<RunResult.Fault> faults = faults(scenario);
      if (processes != null) {
        for (RunResult.Fault fault : faults) for (String node : fault.nodes()) {
          faultHistory.add("planned", "what", fault.what(), "node", node, "from_ns",
              clock.monoNs(fault.fromS() * 1000), "until_ns", clock.monoNs(fault.untilS() * 1000));
        }
        processes.runTimeline(Timeline.of(scenario.processes().faults(), scenario.nodes()), clock,
            faultHistory);
      }
      loadRunner.run().toCompletionStage().toCompletableFuture().get(
          (long) (scenario.seconds() + scenario.load().deadlineMs() / 1000 + START_TIMEOUT_S),
          TimeUnit.SECONDS);
      double cpuSeconds = (operatingSystem.getProcessCpuTime() - cpuNanosBefore) / 1e9;
      List<Map<String, Long>> nodeCounters = new ArrayList<>();
      for (Node node : startedNodes) nodeCounters.add(node.metrics());
      LoadRunner finishedLoad = loadRunner;
      RunResult.GroundTruth truth = emulator
          .read(groundTruth -> truth(groundTruth, finishedLoad.succeededIds(), scenario))
          .toCompletionStage().toCompletableFuture().get(CALL_TIMEOUT_S, TimeUnit.SECONDS);
      List<RunResult.Customer> customers = emulator
          .read(groundTruth -> customers(groundTruth, scenario)).toCompletionStage()
          .toCompletableFuture().get(CALL_TIMEOUT_S, TimeUnit.SECONDS);
      Map<String, Long> emulatorMetrics = emulator.metrics().toCompletionStage()
          .toCompletableFuture().get(CALL_TIMEOUT_S, TimeUnit.SECONDS);
      RunResult.ProcessUsage processUsage = new RunResult.ProcessUsage(cpuSeconds, rssMb(),
          Thread.activeCount());
      List<RunResult.Check> checks = checks(truth, loadRunner, nodeCounters, !faults.isEmpty());
      if (processes != null) processes.close();
      List<HistoryEvent> history = historyDir == null ? List.of()
          : HistoryEvent.readAll(historyDir);
      List<String> violations = new ArrayList<>();
      if (historyDir != null) {
        Set<String> recorded = new java.util.TreeSet<>(
            history.stream().map(HistoryEvent::name).toList());
        boolean complete = recorded.containsAll(List.of("clients", "stand-ins"));
        checks.add(new RunResult.Check("histories were kept", complete, "of " + recorded));
      }
      for (Property property : properties(scenario)) {
        List<Property.Violation> found = property.check(history);
        if (historyDir != null) checks.add(new RunResult.Check(property.name(), found.isEmpty(),
            found.size() + " violations in " + history.size() + " events"
                + (found.isEmpty() ? "" : ", first: " + found.get(0).what())));
        for (Property.Violation violation : found)
          violations.add(violation.property() + ": " + violation.what() + " "
              + violation.evidence().stream().map(HistoryEvent::at).toList());
      }
      if (historyDir != null) faults = faults.stream()
          .map(fault -> new RunResult.Fault(fault.what(), fault.nodes(), fault.fromS(),
              fault.untilS(),
              Recovery.overshootGrowth(history, scenario.plan().rate(), scenario.plan().burst(),
                  clock.monoNs(fault.fromS() * 1000),
                  clock.monoNs((fault.untilS() + COST_DELAY_S) * 1000))))
          .toList();
      double recoveryS = faults.isEmpty() || historyDir == null ? 0 : Recovery.recoverySeconds(
          history, clock.monoNs(0), faults.get(0).fromS(), scenario.seconds(), survivors(scenario));
      return new RunResult(scenario.name(), scenario.json(), scenario.seed(),
          OpenLoopSchedule.digest(schedule), scenario.seconds(), scenario.nodes(),
          scenario.servers().count(), schedule.size(), loadRunner.attempts(), loadRunner.outcomes(),
          loadRunner.retryAfter(), loadRunner.rejectedWithRoom(), loadRunner.latency(),
          loadRunner.senderLate(), loadRunner.perSecond(), truth, emulatorMetrics, nodeCounters,
          customers, processUsage, checks, faults,
          linkProxies == null ? Map.of() : linkProxies.delayUs(), violations, recoveryS,
          MemberTimes.of(history));
    } finally {
      if (processes != null) processes.close();
      for (Node node : startedNodes) node.stop();
      if (loadRunner != null) loadRunner.close();
      if (linkProxies != null) linkProxies.close();
      emulator.stop();
      for (HistoryWriter writer : new HistoryWriter[] {emulatorHistory, clientHistory,
          faultHistory})
        if (writer != null) writer.close();
    }
  }

  /** Returns the properties for which a run's history is checked. */
  public static List<Property> properties(Scenario scenario) {
    List<Property> properties = new ArrayList<>(
        List.of(new Properties.AnsweredOnce(), new Properties.Answered(),
            new Properties.LostOnlyByFaults(scenario.front().noticeS() * 1000 + FAULT_SLACK_MS),
            new Properties.NotRepeated(), new Properties.SucceededRan(),
            new Properties.SharesWithinQuota()));
    if (scenario.bounds().beyondUnits() > 0) {
      properties.add(new Properties.WithinQuota(scenario.plan().rate(), scenario.plan().burst(),
          scenario.bounds().beyondUnits()));
    }
    return properties;
  }

  /**
   * Returns the scenario's faults on processes, links and app servers in order of time, each with
   * the nodes whose clients may miss answers because of it.
   */
  static List<RunResult.Fault> faults(Scenario scenario) {
    List<RunResult.Fault> faults = new ArrayList<>();
    for (Scenario.ProcessFault fault : scenario.processes().faults()) {
      List<Integer> affected = Group.of(fault.nodes()).nodes(scenario.nodes());
      for (int i = 0; i < affected.size(); i++) {
        double fromS = fault.atS() + i * fault.stepS();
        double lengthS = fault.kind().equals("pause")
            ? fault.forS() > 0 ? fault.forS() : scenario.seconds()
            : fault.restart() ? fault.backS() : 0;
        faults.add(new RunResult.Fault(fault.kind() + (fault.restart() ? ", restart" : ""),
            List.of("n" + affected.get(i)), fromS, fromS + lengthS, 0));
      }
    }
    for (Scenario.LinkFault fault : scenario.links().faults()) {
      List<String> names = new ArrayList<>();
      for (int node = 0; node < scenario.nodes(); node++) {
        if (Group.of(fault.from()).holds("n" + node) || Group.of(fault.to()).holds("n" + node))
          names.add("n" + node);
      }
      faults.add(new RunResult.Fault(
          fault.kind() + " " + fault.from() + (fault.oneWay() ? " > " : " - ") + fault.to(), names,
          fault.atS(), endS(fault.atS(), fault.forS(), scenario), 0));
    }
    for (Scenario.Fault fault : scenario.servers().faults()) {
      if (fault.kind().equals("idle_close")) continue;
      faults.add(new RunResult.Fault("app servers " + fault.kind(), List.of("all"), fault.atS(),
          endS(fault.atS(), fault.forS(), scenario), 0));
    }
    faults.sort(java.util.Comparator.comparingDouble(RunResult.Fault::fromS));
    return faults;
  }

  /** Returns when a fault on links or app servers ends: with the run if it has no length. */
  private static double endS(double atS, double forS, Scenario scenario) {
    return forS > 0 ? atS + forS : scenario.seconds();
  }

  /** Returns the names of the nodes that no process fault ends or stops. */
  private static Set<String> survivors(Scenario scenario) {
    Set<String> names = new java.util.TreeSet<>();
    for (int i = 0; i < scenario.nodes(); i++) {
      String node = "n" + i;
      if (scenario.processes().faults().stream()
          .noneMatch(fault -> Group.of(fault.nodes()).holds(node)))
        names.add(node);
    }
    return names;
  }

  private static void createEmpty(Path historyDir) throws IOException {
    Files.createDirectories(historyDir);
    try (var existing = Files.list(historyDir)) {
      for (Path file : existing.toList()) Files.delete(file);
    }
  }

  private static Node child(Processes processes, int number) {
    return new Node() {
      @Override
      public int port() {
        return processes.ports().get(number);
      }

      @Override
      public Map<String, Long> metrics() {
        return processes.metrics(number);
      }

      @Override
      public void stop() {} // Processes.close() ends all of them
    };
  }

  private static Node embedded(String config) throws Exception {
    EmbeddedNode node = EmbeddedNode.start(PolicyEngine::new, config).toCompletionStage()
        .toCompletableFuture().get(START_TIMEOUT_S, TimeUnit.SECONDS);
    return new Node() {
      @Override
      public int port() {
        return node.port();
      }

      @Override
      public Map<String, Long> metrics() throws Exception {
        Map<String, Long> metrics = Processes.counters(node.infoText().toCompletionStage()
            .toCompletableFuture().get(CALL_TIMEOUT_S, TimeUnit.SECONDS));
        metrics.put("loop_cpu_ms", node.loopCpuNanos().toCompletionStage().toCompletableFuture()
            .get(CALL_TIMEOUT_S, TimeUnit.SECONDS) / 1_000_000);
        return metrics;
      }

      @Override
      public void stop() throws Exception {
        node.stop().toCompletionStage().toCompletableFuture().get(STOP_TIMEOUT_S, TimeUnit.SECONDS);
      }
    };
  }

  /** Writes a run file as JSON. */
  public static void write(RunResult result, Path file) throws IOException {
    Files.writeString(file, GSON.toJson(result));
  }

  /** Reads a run file. */
  public static RunResult read(Path file) throws IOException {
    return GSON.fromJson(Files.readString(file), RunResult.class);
  }

  static RunResult.GroundTruth truth(GroundTruth groundTruth, List<String> succeededIds,
      Scenario scenario) {
    GroundTruth.Totals totals = groundTruth.totals();
    long notRun = 0;
    for (String id : succeededIds) {
      GroundTruth.TrackedRequest request = groundTruth.request(id);
      if (request == null || request.served == 0) notRun++;
    }
    double unitsBeyond = 0;
    for (double overshoot : groundTruth.overshoot(scenario.plan().rate(), scenario.plan().burst())
        .values())
      unitsBeyond += Math.max(0, overshoot);
    return new RunResult.GroundTruth(totals.requests(), totals.attempts(), totals.served(),
        totals.unitsCharged(), totals.doubleCharges(), totals.repeatedNonRetriable(), notRun,
        unitsBeyond);
  }

  static List<RunResult.Customer> customers(GroundTruth groundTruth, Scenario scenario) {
    Map<Long, Double> beyondByCustomer = groundTruth.overshoot(scenario.plan().rate(),
        scenario.plan().burst());
    List<RunResult.Customer> customers = new ArrayList<>();
    for (long customer : groundTruth.heaviest(HEAVIEST_CUSTOMERS)) {
      customers.add(new RunResult.Customer(customer, groundTruth.unitsPerSecond(customer),
          scenario.plan().rate(), scenario.plan().burst(),
          beyondByCustomer.getOrDefault(customer, 0.0)));
    }
    return customers;
  }

  static List<RunResult.Check> checks(RunResult.GroundTruth truth, LoadRunner load,
      List<Map<String, Long>> nodeCounters, boolean faults) {
    List<RunResult.Check> checks = new ArrayList<>();
    // After an attempt that a fault interrupted, a retriable request may run again. Its units are
    // then reported without being checked.
    checks.add(new RunResult.Check("no double charge", faults || truth.doubleCharges() == 0,
        truth.doubleCharges() + " reqs charged twice at app servers"));
    checks.add(new RunResult.Check("no repeated non-replayable dispatch",
        truth.repeatedNonReplayable() == 0,
        truth.repeatedNonReplayable() + " repeated dispatches of non-replayable reqs"));
    checks.add(new RunResult.Check("every passed try ran", truth.passedNotRun() == 0,
        truth.passedNotRun() + " passed tries that no app server ran"));
    // a killed node returns no counters: the histories are checked instead
    if (faults) return checks;
    long nodeSucceeded = nodeCounters.stream()
        .mapToLong(counters -> counters.getOrDefault("answered_passed", 0L)).sum();
    long clientSucceeded = load.outcomes().get(Outcome.PASSED);
    long unseen = load.outcomes().get(Outcome.LEFT) + load.outcomes().get(Outcome.TIMED_OUT)
        + load.outcomes().get(Outcome.BROKEN);
    checks.add(new RunResult.Check("nodes and clients agree on passed",
        nodeSucceeded >= clientSucceeded && nodeSucceeded - clientSucceeded <= unseen,
        "nodes " + nodeSucceeded + ", clients " + clientSucceeded
            + ", of which clients could have missed " + unseen));
    return checks;
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
