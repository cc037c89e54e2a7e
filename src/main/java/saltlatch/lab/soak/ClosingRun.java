package saltlatch.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.emulator.Emulator;
import saltlatch.lab.plan.Timeline.Action;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.rig.SharedCore;
import saltlatch.lab.scenario.Scenario;

/**
 * One planned end of a node process, with idle clients that send their requests round the time at
 * which the node closes their connections. The node gets SIGKILL at the earliest time that the
 * protocol allows.
 */
public final class ClosingRun {
  private static final int NODE = 0;
  private static final List<Integer> TARGET = List.of(NODE);
  private static final long DEADLINE_MS = 3_000;
  /** From the end of the longest deadline after SIGTERM to SIGKILL. */
  private static final long KILL_MARGIN_MS = 700;
  private static final long KILL_MS = DEADLINE_MS + KILL_MARGIN_MS;
  /** A request without an answer until then is lost: no process is left to answer it. */
  private static final long LAST_MS = KILL_MS + 500;
  private static final long FIRST_REQUEST_MS = 2_000;
  private static final long LAST_REQUEST_MS = 3_600;
  private static final long SETTLE_MS = 500;
  /** Of each way. A reset behind an end comes two delays after it: within the clients' wait. */
  private static final long LINK_DELAY_MS = 10;
  private static final long SIGNAL_INTERVAL_MS = 300;
  private static final long STALL_FROM_MS = 2_300;
  private static final long MAX_STALL_DELAY_MS = 1_000;

  /** What disturbs the node while it ends. */
  public enum Disturbance {
    /** Nothing. */
    NONE,
    /** The node shares a core with busy processes. */
    BUSY_CORE,
    /** The node is stopped and continued before it closes connections. */
    STALL,
    /** SIGTERM and SIGHUP come again and again. */
    SIGNALS,
    /** Hundreds of connections on which nothing is sent. */
    CROWD,
    /** All bytes, ends and resets reach the other side later. */
    DELAYED_LINK
  }

  /**
   * A run's settings.
   *
   * @param clients  the number of idle clients
   * @param form     how they write their requests
   * @param busy     busy processes on the node's core, with {@link Disturbance#BUSY_CORE}
   * @param stallMs  how long the node is stopped, with {@link Disturbance#STALL}
   * @param crowd    connections of the crowd, with {@link Disturbance#CROWD}
   */
  public record Plan(Disturbance disturbance, int clients, RequestForm form, int busy, long stallMs,
      int crowd) {
    private static final int DEFAULT_BUSY = 3;
    private static final int DEFAULT_CROWD = 300;
    /** For so long a node may be held up at any place. */
    private static final long DEFAULT_STALL_MS = 150;

    /** Returns a plan with the default size of each disturbance. */
    public static Plan of(Disturbance disturbance, int clients, RequestForm form) {
      return new Plan(disturbance, clients, form, DEFAULT_BUSY, DEFAULT_STALL_MS, DEFAULT_CROWD);
    }
  }

  /**
   * What a run saw.
   *
   * @param requests what became of the clients' requests
   * @param endedMs  when the process had ended, after SIGTERM; {@link #KILLED} if SIGKILL ended it
   */
  public record Result(ClosingResult requests, long endedMs) {
    /** The process did not end by itself. */
    public static final long KILLED = -1;

    @Override
    public String toString() {
      return requests.counts() + ", ended after " + endedMs + " ms " + requests.losses();
    }
  }

  private final Plan plan;
  private final SplittableRandom random;
  private final List<Socket> crowd = new ArrayList<>();
  private final SharedCore core = new SharedCore(Runtime.getRuntime().availableProcessors() - 1);
  private Processes nodes;

  private ClosingRun(Plan plan, long seed) {
    this.plan = plan;
    random = new SplittableRandom(seed);
  }

  /** Runs the plan with the built program; the seed sets the times of requests and signals. */
  public static Result run(Processes.Program program, Plan plan, long seed) throws Exception {
    return new ClosingRun(plan, seed).run(program, seed);
  }

  private Result run(Processes.Program program, long seed) throws Exception {
    Emulator emulator = new Emulator(Scenario.parse(scenario(seed)), new LabClock());
    emulator.start().toCompletionStage().toCompletableFuture().get();
    Processes.Program placed = plan.disturbance() == Disturbance.BUSY_CORE
        ? program.withPrefix(core.prefix()) : program;
    try (Processes processes = new Processes(placed, (node, old) -> emulator.nodeConfig(node))) {
      nodes = processes;
      nodes.start(1);
      return endNode();
    } finally {
      core.close();
      for (Socket connection : crowd) connection.close();
      emulator.stop().toCompletionStage().toCompletableFuture().get();
    }
  }

  private static String scenario(long seed) {
    return String.format(Locale.ROOT, """
        name = "closing"
        seed = %d
        nodes = 1
        [servers]
        count = 4
        median_ms = 10
        p99_ms = 50
        [counter]
        latency_ms = 1
        [plan]
        rate = 2000
        burst = 2000
        aim_ms = 1000
        deadline_ms = %d
        """, seed, DEADLINE_MS);
  }

  private Result endNode() throws Exception {
    int port = nodes.ports().get(NODE);
    boolean delayed = plan.disturbance() == Disturbance.DELAYED_LINK;
    try (DelayedLink link = new DelayedLink(port, LINK_DELAY_MS);
        IdleClients clients = new IdleClients(delayed ? link.port() : port, plan.clients(),
            plan.form(), DEADLINE_MS, random.split())) {
      Thread.sleep(SETTLE_MS);
      if (plan.disturbance() == Disturbance.BUSY_CORE) core.startBusyProcesses(plan.busy());
      if (plan.disturbance() == Disturbance.CROWD) openCrowd(port);
      long terminatedNanos = System.nanoTime();
      nodes.apply(Action.TERM, TARGET);
      clients.start(terminatedNanos, FIRST_REQUEST_MS, LAST_REQUEST_MS, LAST_MS);
      disturb(terminatedNanos);
      long endedMs = awaitEnd(terminatedNanos);
      return new Result(clients.finish(), endedMs);
    }
  }

  private void openCrowd(int port) throws IOException {
    for (int i = 0; i < plan.crowd(); i++)
      crowd.add(new Socket(InetAddress.getLoopbackAddress(), port));
  }

  private void disturb(long terminatedNanos) throws Exception {
    if (plan.disturbance() == Disturbance.SIGNALS) sendSignals(terminatedNanos);
    if (plan.disturbance() == Disturbance.STALL) stall(terminatedNanos);
  }

  private void sendSignals(long terminatedNanos) throws Exception {
    for (long ms = SIGNAL_INTERVAL_MS; ms < KILL_MS; ms += SIGNAL_INTERVAL_MS) {
      sleepUntil(terminatedNanos, ms);
      if (random.nextBoolean()) nodes.apply(Action.TERM, TARGET);
      else nodes.reload(TARGET);
    }
  }

  private void stall(long terminatedNanos) throws Exception {
    sleepUntil(terminatedNanos, STALL_FROM_MS + random.nextLong(MAX_STALL_DELAY_MS));
    nodes.apply(Action.STOP, TARGET);
    Thread.sleep(plan.stallMs());
    nodes.apply(Action.CONT, TARGET);
  }

  private static void sleepUntil(long terminatedNanos, long ms) throws InterruptedException {
    TimeUnit.NANOSECONDS
        .sleep(terminatedNanos + TimeUnit.MILLISECONDS.toNanos(ms) - System.nanoTime());
  }

  private long awaitEnd(long terminatedNanos) throws Exception {
    long killNanos = terminatedNanos + TimeUnit.MILLISECONDS.toNanos(KILL_MS);
    while (nodes.alive(NODE) && System.nanoTime() < killNanos) Thread.sleep(1);
    long endedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - terminatedNanos);
    if (!nodes.alive(NODE)) return endedMs;
    nodes.apply(Action.KILL, TARGET);
    return Result.KILLED;
  }
}
