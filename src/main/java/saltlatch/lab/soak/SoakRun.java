package saltlatch.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.emulator.Emulator;
import saltlatch.lab.plan.Timeline.Action;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.scenario.Scenario;

/**
 * One run of a seed: three node processes, of which one after another is ended by signals in
 * series and killed at the earliest time that the protocol allows, while clients use their
 * connections until then. Some app servers hang meanwhile, and in every third seed a crowd of idle
 * clients takes up the node's connections.
 */
public final class SoakRun {
  private static final int NODES = 3;
  private static final int ROUNDS = 2;
  private static final int CLIENTS = 24;
  /** Clients whose only requests come round the end of a node. */
  private static final int IDLE_CLIENTS = 60;
  private static final RequestForm[] FORMS = RequestForm.values();
  private static final int CROWD_CONNECTIONS = 400;
  private static final int CROWD_SEEDS = 3;
  private static final long MAX_DEADLINE_MS = 2_000;
  /** From the end of the longest deadline after SIGTERM to SIGKILL. */
  private static final long KILL_MARGIN_MS = 700;
  private static final long KILL_MS = MAX_DEADLINE_MS + KILL_MARGIN_MS;
  /** A request without an answer until then is lost: its node is gone. */
  private static final long LAST_ANSWERS_MS = 500;
  /** New connections come for up to 0.4 s after SIGTERM. */
  private static final long NEW_CONNECTIONS_MS = 400;
  private static final long MAX_STEP_MS = 1_000;
  private static final long SETTLE_MS = 500;

  private final long seed;
  private final SplittableRandom random;
  private final List<String> violations = Collections.synchronizedList(new ArrayList<>());
  private final List<Socket> crowd = new ArrayList<>();
  private final Set<Integer> leavingPorts = ConcurrentHashMap.newKeySet();
  private volatile long terminatedNanos;
  private int crossing; // requests of idle clients that were answered or reset
  private Processes nodes;

  private SoakRun(long seed) {
    this.seed = seed;
    random = new SplittableRandom(seed);
  }

  /**
   * What a run saw.
   *
   * @param answered   requests of the clients that use their connections all the time
   * @param crossing   those of idle clients that were sent round the end of a node and not lost
   * @param violations a line for each lost request, and for each node that did not end in time
   */
  public record Result(long seed, int answered, int crossing, List<String> violations) {
    @Override
    public String toString() {
      return "seed " + seed + ": " + answered + " answered, " + crossing + " at the end, "
          + violations.size() + " lost " + violations;
    }
  }

  /** Runs a seed with the built program. */
  public static Result run(Processes.Program program, long seed) throws Exception {
    return new SoakRun(seed).run(program);
  }

  private Result run(Processes.Program program) throws Exception {
    Emulator emulator = new Emulator(Scenario.parse(scenario()), new LabClock());
    emulator.start().toCompletionStage().toCompletableFuture().get();
    try (Processes processes = new Processes(program, (node, old) -> emulator.nodeConfig(node))) {
      nodes = processes;
      nodes.start(NODES);
      int answered = runClients();
      return new Result(seed, answered, crossing, List.copyOf(violations));
    } finally {
      for (Socket connection : crowd) connection.close();
      emulator.stop().toCompletionStage().toCompletableFuture().get();
    }
  }

  private String scenario() {
    return String.format(Locale.ROOT, """
        name = "soak"
        seed = %d
        nodes = %d
        [servers]
        count = 8
        median_ms = 40
        p99_ms = 200
        [[servers.faults]]
        kind = "pause"
        at_s = %d
        for_s = 3
        first = 0
        count = 2
        [counter]
        latency_ms = 1
        [plan]
        rate = 200
        burst = 800
        aim_ms = 500
        deadline_ms = %d
        """, seed, NODES, 1 + random.nextInt(4), MAX_DEADLINE_MS);
  }

  private int runClients() throws Exception {
    List<SoakClient> clients = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      SoakClient client = new SoakClient("s" + seed + "c" + i, nodes.ports(), MAX_DEADLINE_MS,
          random.split(), leavingPorts, this::lost);
      clients.add(client);
      threads.add(new Thread(client, "soak-client"));
    }
    threads.forEach(Thread::start);
    for (int round = 0; round < ROUNDS; round++) endNode(random.nextInt(NODES));
    clients.forEach(SoakClient::stop);
    for (Thread thread : threads) thread.join();
    return clients.stream().mapToInt(SoakClient::answered).sum();
  }

  private void lost(String request) {
    long sinceMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - terminatedNanos);
    violations.add(request + ", " + sinceMs + " ms after the last SIGTERM");
  }

  private void endNode(int node) throws Exception {
    List<Integer> target = List.of(node);
    Thread.sleep(random.nextLong(MAX_STEP_MS));
    if (seed % CROWD_SEEDS == 0) openCrowd(nodes.ports().get(node));
    if (random.nextBoolean()) nodes.reload(target);
    IdleClients idle = new IdleClients(nodes.ports().get(node), IDLE_CLIENTS,
        FORMS[random.nextInt(FORMS.length)], MAX_DEADLINE_MS, random.split());
    terminatedNanos = System.nanoTime();
    nodes.apply(Action.TERM, target);
    idle.start(terminatedNanos, NEW_CONNECTIONS_MS, KILL_MS, KILL_MS + LAST_ANSWERS_MS);
    Thread.sleep(NEW_CONNECTIONS_MS);
    leavingPorts.add(nodes.ports().get(node));
    Thread.sleep(random.nextLong(MAX_STEP_MS));
    nodes.apply(Action.TERM, target);
    if (random.nextBoolean()) nodes.reload(target);
    long killNanos = terminatedNanos + TimeUnit.MILLISECONDS.toNanos(KILL_MS);
    TimeUnit.NANOSECONDS.sleep(killNanos - System.nanoTime());
    if (nodes.alive(node)) violations.add("node " + node + " has not ended before SIGKILL");
    nodes.apply(Action.KILL, target);
    addLosses(idle);
    nodes.apply(Action.START, target);
    nodes.awaitReady(node);
    Thread.sleep(SETTLE_MS);
    leavingPorts.clear();
  }

  private void addLosses(IdleClients idle) throws IOException, InterruptedException {
    ClosingResult result = idle.finish();
    idle.close();
    crossing += result.count(RequestVerdict.ANSWERED) + result.count(RequestVerdict.RESET);
    result.losses().forEach(loss -> violations.add("idle client: " + loss));
  }

  private void openCrowd(int port) {
    try {
      for (int i = 0; i < CROWD_CONNECTIONS; i++)
        crowd.add(new Socket(InetAddress.getLoopbackAddress(), port));
    } catch (IOException e) {
      // the node's backlog is full: the crowd is as large as it gets
    }
  }
}
