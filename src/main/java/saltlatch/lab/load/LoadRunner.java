package saltlatch.lab.load;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import saltlatch.history.HistoryWriter;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.plan.LoadBalancer;
import saltlatch.lab.plan.OpenLoopSchedule.Arrival;
import saltlatch.lab.scenario.Scenario;
import saltlatch.wire.FramingException;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespEncoder;
import saltlatch.wire.resp.RespValue;

/**
 * An open-loop load generator. It sends each arrival of the fixed schedule at its time, regardless
 * of the answers to earlier requests, to edge nodes in RESP2
 * ({@code SVC.QUERY}/{@code SVC.SUBMIT CUSTOMER ID TERMS [BODY]}). The requests of a customer go
 * round-robin to the nodes of its set, which is all nodes, from {@code customer mod nodes} on. An
 * attempt uses an idle connection to its node. If there is none, it opens a connection, up to
 * {@code connections_per_node}; beyond that it waits on the connection with the shortest queue.
 * Clients that give up early have a connection of their own and close it; a client also closes its
 * connection at the client timeout. Eager clients send a rejected request again immediately, with a
 * new id and {@code r=1}. The generator runs on one event loop and records latencies in
 * HdrHistogram.
 */
public final class LoadRunner {
  // Interval at which the event loop checks for due arrivals, in addition to the pacer's wake-ups.
  private static final long TICK_MS = 1;
  // The pacer parks until this long before an arrival and then spins, because park overshoots.
  private static final long SPIN_US = 80;
  // Interval between the load balancer's PINGs to a node: short compared with its detection time,
  // which is in the order of seconds.
  private static final long PING_MS = 250;
  // Maximum connections to one node if there is a load balancer. It is higher than usual because a
  // load balancer opens more connections when all are busy.
  private static final int MAX_BALANCER_CONNECTIONS = 256;
  // A rejection counts as one with room if at least this fraction of the burst would have
  // remained had the request succeeded. Closer to the quota, a rejection may be correct.
  private static final double ROOM_FRACTION = 0.5;
  private static final long HIGHEST_US = 120_000_000; // the histograms' range: two minutes
  // The sender's lateness in the first 2 s is recorded separately, because JIT compilation and new
  // connections increase it.
  private static final long WARM_UP_US = 2_000_000;

  private final Scenario scenario;
  private final List<Arrival> schedule;
  private final List<Integer> nodePorts;
  private final LabClock clock;
  private final Vertx vertx;
  private final NetClient net;
  private final List<List<Connection>> connectionsByNode = new ArrayList<>();
  // For each first node of a set, the number of requests sent so far: the round-robin position.
  private final int[] nextOffset;
  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private final Histogram succeededLatency = new Histogram(HIGHEST_US, 3);
  private final Histogram answeredLatency = new Histogram(HIGHEST_US, 3);
  private final Histogram senderLateness = new Histogram(HIGHEST_US, 3);
  private final Histogram senderLatenessWarmUp = new Histogram(HIGHEST_US, 3);
  private final TreeMap<Long, long[]> outcomesPerSecond = new TreeMap<>();
  private final TreeMap<Long, Histogram> latencyPerSecond = new TreeMap<>();
  // customer -> {units of succeeded requests, ms of its first succeeded request}
  private final Map<Long, double[]> customerUse = new HashMap<>();
  private final List<String> succeededIds = new ArrayList<>();
  private volatile long startUs;
  private volatile boolean pacing = true;
  private int nextArrival;
  private long attempts;
  private long openAttempts;
  private long rejectedWithRetryAfter;
  private long rejectedWithRoom;
  private Promise<Void> done;

  /** One request as sent to a node, until it ends. */
  private static final class Attempt {
    final Arrival arrival;
    final String id;
    final int node;
    final int retriesLeft;
    final long dueUs;
    Connection connection;
    boolean ended;

    Attempt(Arrival arrival, String id, int node, int retriesLeft, long dueUs) {
      this.arrival = arrival;
      this.id = id;
      this.node = node;
      this.retriesLeft = retriesLeft;
      this.dueUs = dueUs;
    }
  }

  /** A client connection to one node, with its unanswered attempts in order. */
  private static final class Connection {
    final int node;
    final ArrayDeque<Attempt> unanswered = new ArrayDeque<>();
    final RespDecoder decoder = new RespDecoder();
    final List<Buffer> unsent = new ArrayList<>();
    final boolean exclusive; // used only by one client, which closes it when it gives up
    NetSocket socket;
    boolean closed;

    Connection(int node, boolean exclusive) {
      this.node = node;
      this.exclusive = exclusive;
    }

    void send(Attempt attempt, Buffer command) {
      unanswered.addLast(attempt);
      attempt.connection = this;
      if (socket != null) socket.write(command);
      else unsent.add(command);
    }
  }

  // null: requests go round-robin to all nodes, including failed ones
  private final LoadBalancer loadBalancer;
  private final Pinger[] pingers;
  private final HistoryWriter history; // null: no history is written

  /** Creates a load generator that writes no history. */
  public LoadRunner(Scenario scenario, List<Arrival> schedule, List<Integer> nodePorts,
      LabClock clock) {
    this(scenario, schedule, nodePorts, clock, null);
  }

  /**
   * Creates a load generator that sends the schedule to the nodes at {@code nodePorts} on loopback.
   * If {@code history} is null, it writes no history.
   */
  public LoadRunner(Scenario scenario, List<Arrival> schedule, List<Integer> nodePorts,
      LabClock clock, HistoryWriter history) {
    this.history = history;
    this.loadBalancer = scenario.front().noticeS() > 0
        ? new LoadBalancer(nodePorts.size(), scenario.front().noticeS() * 1000) : null;
    this.pingers = new Pinger[loadBalancer == null ? 0 : nodePorts.size()];
    this.scenario = scenario;
    this.schedule = schedule;
    this.nodePorts = nodePorts;
    this.clock = clock;
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
        .setPreferNativeTransport(true));
    net = vertx.createNetClient(new NetClientOptions().setConnectTimeout(1000).setTcpNoDelay(true));
    for (int i = 0; i < nodePorts.size(); i++) connectionsByNode.add(new ArrayList<>());
    nextOffset = new int[nodePorts.size()];
    for (Outcome outcome : Outcome.values()) outcomes.put(outcome, 0L);
  }

  /**
   * The load balancer's health check of one node: PING on a separate connection, which is opened
   * again after it ends.
   */
  private final class Pinger {
    final int node;
    NetSocket socket;
    boolean opening;

    Pinger(int node) {
      this.node = node;
    }

    void ping() {
      if (socket != null) {
        socket.write("*1\r\n$4\r\nPING\r\n");
        return;
      }
      if (opening) return;
      opening = true;
      net.connect(nodePorts.get(node), "127.0.0.1").onComplete(connected -> {
        opening = false;
        if (connected.failed()) return;
        socket = connected.result();
        socket.handler(data -> {
          if (data.toString().startsWith("+PONG"))
            loadBalancer.recordPong(node, loadBalancerNowMs());
        });
        socket.closeHandler(v -> socket = null);
        ping();
      });
    }
  }

  /**
   * Returns the time of the load balancer's clock in ms. It is independent of {@link LabClock},
   * which is set when the run begins.
   */
  private static double loadBalancerNowMs() {
    return System.nanoTime() / 1e6;
  }

  /**
   * Returns a future that completes once the load balancer has found every node healthy, or
   * immediately if there is no load balancer.
   */
  public Future<Void> ready() {
    Promise<Void> allHealthy = Promise.promise();
    if (loadBalancer == null) return Future.succeededFuture();
    vertx.getOrCreateContext().runOnContext(v -> {
      for (int i = 0; i < pingers.length; i++) pingers[i] = new Pinger(i);
      vertx.setPeriodic(PING_MS, timer -> {
        for (Pinger pinger : pingers) pinger.ping();
        boolean all = true;
        for (int i = 0; i < pingers.length; i++)
          all &= loadBalancer.isHealthy(i, loadBalancerNowMs());
        if (all) allHealthy.tryComplete();
      });
    });
    return allHealthy.future();
  }

  /** Sends the complete schedule; the returned future completes when every attempt has ended. */
  public Future<Void> run() {
    done = Promise.promise();
    io.vertx.core.Context loop = vertx.getOrCreateContext();
    loop.runOnContext(v -> {
      startUs = clock.nowUs();
      Thread pacer = new Thread(() -> pace(loop), "lab-pacer");
      pacer.setDaemon(true);
      pacer.start();
      vertx.setPeriodic(TICK_MS, timer -> {
        sendDueArrivals();
        if (nextArrival >= schedule.size() && openAttempts == 0) {
          pacing = false;
          vertx.cancelTimer(timer);
          for (List<Connection> connections : connectionsByNode) {
            for (Connection connection : connections)
              if (connection.socket != null) connection.socket.close();
          }
          done.tryComplete();
        }
      });
    });
    return done.future();
  }

  /**
   * Wakes the event loop at each arrival's time, as close to the microsecond as the machine allows:
   * parks until {@link #SPIN_US} before it, then spins. The pacer thread only wakes the event loop,
   * which owns all state and sends the requests.
   */
  private void pace(io.vertx.core.Context loop) {
    for (int i = 0; i < schedule.size() && pacing; i++) {
      long atUs = schedule.get(i).atUs();
      long waitUs = atUs - (clock.nowUs() - startUs);
      if (waitUs > SPIN_US)
        java.util.concurrent.locks.LockSupport.parkNanos((waitUs - SPIN_US) * 1000);
      while (clock.nowUs() - startUs < atUs) Thread.onSpinWait();
      while (i + 1 < schedule.size() && schedule.get(i + 1).atUs() <= atUs) i++;
      loop.runOnContext(v -> sendDueArrivals());
    }
  }

  private void sendDueArrivals() {
    long nowUs = clock.nowUs() - startUs;
    while (nextArrival < schedule.size() && schedule.get(nextArrival).atUs() <= nowUs) {
      Arrival arrival = schedule.get(nextArrival++);
      (arrival.atUs() < WARM_UP_US ? senderLatenessWarmUp : senderLateness)
          .recordValue(Math.min(HIGHEST_US, Math.max(0, nowUs - arrival.atUs())));
      int node = nodeFor(arrival.customer());
      Attempt attempt = new Attempt(arrival, arrival.id(), node, arrival.eagerTries(),
          arrival.atUs());
      if (node >= 0) {
        send(attempt, false);
        continue;
      }
      attempts++; // the load balancer has no healthy node for it
      openAttempts++;
      finish(attempt, Outcome.BROKEN, nowUs);
    }
  }

  private int nodeFor(long customer) {
    int nodeCount = nodePorts.size();
    int first = (int) (customer % nodeCount);
    if (loadBalancer != null) return loadBalancer.route(first, nodeCount, loadBalancerNowMs());
    return (first + nextOffset[first]++ % nodeCount) % nodeCount;
  }

  private void send(Attempt attempt, boolean retry) {
    attempts++;
    openAttempts++;
    Arrival arrival = attempt.arrival;
    int nodeCount = nodePorts.size();
    String terms = "c=" + (arrival.submit() ? "write" : "read") + ",t=plan,d="
        + arrival.deadlineMs() + ",units=" + arrival.units() + ",spread=" + nodeCount + ",first="
        + (arrival.customer() % nodeCount) + (retry ? ",r=1" : "");
    List<String> words = new ArrayList<>(List.of(arrival.submit() ? "SVC.SUBMIT" : "SVC.QUERY",
        String.format("%016x", arrival.customer()), attempt.id, terms));
    if (arrival.submit()) words.add("progress-save");
    Buffer command = Buffer.buffer().appendString("*" + words.size() + "\r\n");
    for (String word : words)
      RespEncoder.appendBulk(command, word.getBytes(StandardCharsets.ISO_8859_1));
    if (history != null) {
      history.add("sent", "id", attempt.id, "node", "n" + attempt.node, "customer",
          arrival.customer(), "units", arrival.units(), "submit", arrival.submit(), "wait_ms",
          arrival.deadlineMs());
    }
    connectionFor(attempt.node, arrival.abandonUs() > 0).send(attempt, command);
    long nowMs = (clock.nowUs() - startUs) / 1000;
    long timeoutMs = Math.max(1, attempt.dueUs / 1000 + arrival.deadlineMs() - nowMs);
    vertx.setTimer(timeoutMs, timer -> abandon(attempt, Outcome.TIMED_OUT));
    if (arrival.abandonUs() > 0) {
      vertx.setTimer(Math.max(1, (attempt.dueUs + arrival.abandonUs()) / 1000 - nowMs),
          timer -> abandon(attempt, Outcome.LEFT));
    }
  }

  /**
   * Returns an idle connection to the node, or a new one if fewer than the maximum are open, or the
   * connection with the shortest queue. An exclusive connection is always new.
   */
  private Connection connectionFor(int node, boolean exclusive) {
    List<Connection> connections = connectionsByNode.get(node);
    if (!exclusive) {
      Connection leastLoaded = null;
      for (Connection open : connections) {
        if (open.closed || open.exclusive) continue;
        if (open.unanswered.isEmpty()) return open;
        if (leastLoaded == null || open.unanswered.size() < leastLoaded.unanswered.size())
          leastLoaded = open;
      }
      if (leastLoaded != null && connections.size() >= (loadBalancer != null
          ? MAX_BALANCER_CONNECTIONS : scenario.load().connectionsPerNode()))
        return leastLoaded;
    }
    Connection connection = new Connection(node, exclusive);
    connections.add(connection);
    net.connect(nodePorts.get(node), "127.0.0.1").onComplete(connected -> {
      if (connected.failed()) {
        connectionEnded(connection);
        return;
      }
      NetSocket socket = connected.result();
      if (connection.closed) {
        socket.close();
        return;
      }
      connection.socket = socket;
      socket.handler(data -> read(connection, data));
      socket.closeHandler(v -> connectionEnded(connection));
      socket.exceptionHandler(e -> socket.close());
      for (Buffer command : connection.unsent) socket.write(command);
      connection.unsent.clear();
    });
    return connection;
  }

  private void read(Connection connection, Buffer data) {
    connection.decoder.feed(data);
    try {
      for (RespValue answer = connection.decoder.next(); answer != null; answer = connection.decoder
          .next()) {
        Attempt attempt = connection.unanswered.pollFirst();
        if (attempt == null) continue;
        recordAnswer(attempt, answer);
      }
    } catch (FramingException e) {
      connection.socket.close();
    }
  }

  private void recordAnswer(Attempt attempt, RespValue answer) {
    if (attempt.ended) return;
    long nowUs = clock.nowUs() - startUs;
    long latencyUs = Math.min(HIGHEST_US, Math.max(0, nowUs - attempt.dueUs));
    answeredLatency.recordValue(latencyUs);
    Arrival arrival = attempt.arrival;
    Outcome outcome;
    if ((answer instanceof RespValue.Bulk bulk && bulk.bytes() != null)
        || (answer instanceof RespValue.Array array && array.elements() != null
            && !array.elements().isEmpty()
            && array.elements().get(0) instanceof RespValue.Bulk first && first.bytes() != null)) {
      outcome = Outcome.PASSED;
      succeededLatency.recordValue(latencyUs);
      succeededIds.add(attempt.id);
      double[] use = customerUse.computeIfAbsent(arrival.customer(),
          customer -> new double[] {0, nowUs / 1000.0});
      use[0] += arrival.units();
    } else if (answer instanceof RespValue.Line line && line.type() == '-'
        && line.text().startsWith("BUSY")) {
          outcome = Outcome.DENIED;
          if (line.text().length() > "BUSY ".length()) rejectedWithRetryAfter++;
          double[] use = customerUse.get(arrival.customer());
          double burst = scenario.plan().burst();
          double allowance = burst
              + (use == null ? 0 : scenario.plan().rate() * (nowUs / 1000.0 - use[1]) / 1000);
          if ((use == null ? 0 : use[0]) + arrival.units() <= allowance - ROOM_FRACTION * burst)
            rejectedWithRoom++;
        } else {
          outcome = Outcome.ABORTED;
        }
    latencyPerSecond.computeIfAbsent(nowUs / 1_000_000, second -> new Histogram(HIGHEST_US, 2))
        .recordValue(latencyUs);
    finish(attempt, outcome, nowUs);
    if (outcome == Outcome.DENIED && attempt.retriesLeft > 0) {
      send(new Attempt(arrival, attempt.id + "-r" + attempt.retriesLeft, attempt.node,
          attempt.retriesLeft - 1, nowUs), true);
    }
  }

  /** Ends an attempt whose client stops waiting, and closes the connection as the client does. */
  private void abandon(Attempt attempt, Outcome outcome) {
    if (attempt.ended) return;
    finish(attempt, outcome, clock.nowUs() - startUs);
    Connection connection = attempt.connection;
    if (connection != null) {
      connection.closed = true;
      if (connection.socket != null) connection.socket.close();
      else connectionEnded(connection);
    }
  }

  private void connectionEnded(Connection connection) {
    connection.closed = true;
    connectionsByNode.get(connection.node).remove(connection);
    long nowUs = clock.nowUs() - startUs;
    for (Attempt attempt = connection.unanswered
        .pollFirst(); attempt != null; attempt = connection.unanswered.pollFirst())
      if (!attempt.ended) finish(attempt, Outcome.BROKEN, nowUs);
  }

  private void finish(Attempt attempt, Outcome outcome, long nowUs) {
    attempt.ended = true;
    openAttempts--;
    outcomes.merge(outcome, 1L, Long::sum);
    if (history != null) history.add("got", "id", attempt.id, "node", "n" + attempt.node, "how",
        outcome.name(), "ms", nowUs / 1000);
    long[] counts = outcomesPerSecond.computeIfAbsent(nowUs / 1_000_000, second -> new long[3]);
    counts[outcome == Outcome.PASSED ? 0 : outcome == Outcome.DENIED ? 1 : 2]++;
  }

  // The figures for the run file; they are complete once the future of run() has completed.

  /** Returns the number of attempts, including the retries of eager clients. */
  public long attempts() {
    return attempts;
  }

  /** Returns the number of attempts with each outcome. */
  public Map<Outcome, Long> outcomes() {
    return outcomes;
  }

  /** Returns the number of rejections that gave a retry-after time. */
  public long retryAfter() {
    return rejectedWithRetryAfter;
  }

  /**
   * Returns the number of rejections received although at least half of the customer's burst would
   * have remained if the request had succeeded.
   */
  public long rejectedWithRoom() {
    return rejectedWithRoom;
  }

  /** Returns the ids of the requests that succeeded. */
  public List<String> succeededIds() {
    return succeededIds;
  }

  /**
   * Returns percentiles of the latency of succeeded and of all answered attempts, in microseconds.
   */
  public Map<String, Long> latency() {
    return percentiles(succeededLatency, answeredLatency);
  }

  /**
   * Returns percentiles of the delay between an arrival's scheduled time and its sending, in
   * microseconds.
   */
  public Map<String, Long> senderLate() {
    Map<String, Long> lateness = new TreeMap<>();
    lateness.put("p50", senderLateness.getValueAtPercentile(50));
    lateness.put("p99", senderLateness.getValueAtPercentile(99));
    lateness.put("p999", senderLateness.getValueAtPercentile(99.9));
    lateness.put("max", senderLateness.getMaxValue());
    lateness.put("warming_p99", senderLatenessWarmUp.getValueAtPercentile(99));
    return lateness;
  }

  /** Returns the rows of {@link RunResult#perSecond()}. */
  public List<long[]> perSecond() {
    List<long[]> rows = new ArrayList<>();
    for (var second : outcomesPerSecond.entrySet()) {
      Histogram latency = latencyPerSecond.get(second.getKey());
      long[] counts = second.getValue();
      rows.add(new long[] {second.getKey(), counts[0], counts[1], counts[2],
          latency == null ? 0 : latency.getValueAtPercentile(99)});
    }
    return rows;
  }

  /** Closes the event loop and every connection. */
  public Future<Void> close() {
    return vertx.close();
  }

  private static Map<String, Long> percentiles(Histogram succeeded, Histogram answered) {
    Map<String, Long> latencies = new TreeMap<>();
    latencies.put("passed_p50", succeeded.getValueAtPercentile(50));
    latencies.put("passed_p99", succeeded.getValueAtPercentile(99));
    latencies.put("passed_p999", succeeded.getValueAtPercentile(99.9));
    latencies.put("answered_p50", answered.getValueAtPercentile(50));
    latencies.put("answered_p99", answered.getValueAtPercentile(99));
    latencies.put("answered_p999", answered.getValueAtPercentile(99.9));
    latencies.put("answered_max", answered.getMaxValue());
    return latencies;
  }
}
