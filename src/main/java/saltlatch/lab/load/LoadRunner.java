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
 * The open-loop load: each arrival of the fixed schedule is sent at its time whatever earlier
 * answers do, as RESP2 clients speak to edge nodes
 * ({@code SVC.QUERY}/{@code SVC.SUBMIT CUSTOMER ID TERMS [BODY]}). A customer's reqs go round its
 * set of nodes (all nodes, from {@code customer mod nodes}). A try takes an idle connection of its
 * node, or opens one up to {@code connections_per_node}, else waits behind the shortest queue.
 * Clients that give up early close their own connection; at the client timeout the client closes
 * too. Eager clients send again at once after a denial, with a new id and {@code r=1}. One event
 * loop of its own; latencies in HdrHistogram.
 */
public final class LoadRunner {
  // the loop looks for due arrivals this often, besides the pacer's wake-ups
  private static final long TICK_MS = 1;
  // the pacer parks until this much before an arrival, then spins: park overshoots
  private static final long SPIN_US = 80;
  // between the front's looks at a node: fine beside a notice of seconds
  private static final long PING_MS = 250;
  // connections to a node: clients behind a front open more when all are busy
  private static final int FRONT_LINKS = 256;
  // part of the burst unused that makes a denial one with room: nearer is the edge
  private static final double ROOM = 0.5;
  private static final long HIGHEST_US = 120_000_000; // the histograms' range: two minutes
  // the sender's lateness is kept apart for the first 2 s: JIT, connects
  private static final long WARM_US = 2_000_000;

  private final Scenario s;
  private final List<Arrival> schedule;
  private final List<Integer> nodePorts;
  private final LabClock clock;
  private final Vertx vertx;
  private final NetClient net;
  private final List<List<Conn>> conns = new ArrayList<>();
  private final int[] turn;
  private final Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
  private final Histogram passed = new Histogram(HIGHEST_US, 3);
  private final Histogram answered = new Histogram(HIGHEST_US, 3);
  private final Histogram late = new Histogram(HIGHEST_US, 3);
  private final Histogram lateWarming = new Histogram(HIGHEST_US, 3);
  private final TreeMap<Long, long[]> perSecond = new TreeMap<>();
  private final TreeMap<Long, Histogram> perSecondLatency = new TreeMap<>();
  // customer -> {units passed, first ms}
  private final Map<Long, double[]> customerUse = new HashMap<>();
  private final List<String> passedIds = new ArrayList<>();
  private volatile long startUs;
  private volatile boolean pacing = true;
  private int next;
  private long tries;
  private long open;
  private long retryAfter;
  private long deniedWithRoom;
  private Promise<Void> done;

  /** One try in flight. */
  private static final class Try {
    final Arrival a;
    final String id;
    final int node;
    final int triesLeft;
    final long dueUs;
    Conn conn;
    boolean over;

    Try(Arrival a, String id, int node, int triesLeft, long dueUs) {
      this.a = a;
      this.id = id;
      this.node = node;
      this.triesLeft = triesLeft;
      this.dueUs = dueUs;
    }
  }

  /** A client connection to one node, with its tries in order. */
  private static final class Conn {
    final int node;
    final ArrayDeque<Try> queue = new ArrayDeque<>();
    final RespDecoder reader = new RespDecoder();
    final List<Buffer> unsent = new ArrayList<>();
    final boolean own; // opened for a client that will close it
    NetSocket socket;
    boolean closed;

    Conn(int node, boolean own) {
      this.node = node;
      this.own = own;
    }

    void send(Try t, Buffer b) {
      queue.addLast(t);
      t.conn = this;
      if (socket != null) socket.write(b);
      else unsent.add(b);
    }
  }

  private final LoadBalancer loadBalancer; // null: reqs go round all nodes, dead ones too
  private final Pinger[] pingers;
  private final HistoryWriter history; // null: none is kept

  public LoadRunner(Scenario s, List<Arrival> schedule, List<Integer> nodePorts, LabClock clock) {
    this(s, schedule, nodePorts, clock, null);
  }

  public LoadRunner(Scenario s, List<Arrival> schedule, List<Integer> nodePorts, LabClock clock,
      HistoryWriter history) {
    this.history = history;
    this.loadBalancer = s.front().noticeS() > 0
        ? new LoadBalancer(nodePorts.size(), s.front().noticeS() * 1000) : null;
    this.pingers = new Pinger[loadBalancer == null ? 0 : nodePorts.size()];
    this.s = s;
    this.schedule = schedule;
    this.nodePorts = nodePorts;
    this.clock = clock;
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
        .setPreferNativeTransport(true));
    net = vertx.createNetClient(new NetClientOptions().setConnectTimeout(1000).setTcpNoDelay(true));
    for (int i = 0; i < nodePorts.size(); i++) conns.add(new ArrayList<>());
    turn = new int[nodePorts.size()];
    for (Outcome o : Outcome.values()) outcomes.put(o, 0L);
  }

  /** The front's look at one node: PING on a connection of its own, opened again when it ends. */
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
      net.connect(nodePorts.get(node), "127.0.0.1").onComplete(r -> {
        opening = false;
        if (r.failed()) return;
        socket = r.result();
        socket.handler(b -> {
          if (b.toString().startsWith("+PONG")) loadBalancer.recordPong(node, frontMs());
        });
        socket.closeHandler(v -> socket = null);
        ping();
      });
    }
  }

  /** The front's own clock, which the beginning of the run does not set. */
  private static double frontMs() {
    return System.nanoTime() / 1e6;
  }

  /** Done once the front has taken every node in; at once where there is none. */
  public Future<Void> ready() {
    Promise<Void> in = Promise.promise();
    if (loadBalancer == null) return Future.succeededFuture();
    vertx.getOrCreateContext().runOnContext(v -> {
      for (int i = 0; i < pingers.length; i++) pingers[i] = new Pinger(i);
      vertx.setPeriodic(PING_MS, t -> {
        for (Pinger p : pingers) p.ping();
        boolean all = true;
        for (int i = 0; i < pingers.length; i++) all &= loadBalancer.isHealthy(i, frontMs());
        if (all) in.tryComplete();
      });
    });
    return in.future();
  }

  /** Sends the whole schedule, then waits for every try's end; done then. */
  public Future<Void> run() {
    done = Promise.promise();
    io.vertx.core.Context loop = vertx.getOrCreateContext();
    loop.runOnContext(v -> {
      startUs = clock.nowUs();
      Thread pacer = new Thread(() -> pace(loop), "lab-pacer");
      pacer.setDaemon(true);
      pacer.start();
      vertx.setPeriodic(TICK_MS, t -> {
        tick();
        if (next >= schedule.size() && open == 0) {
          pacing = false;
          vertx.cancelTimer(t);
          for (List<Conn> list : conns) for (Conn c : list) if (c.socket != null) c.socket.close();
          done.tryComplete();
        }
      });
    });
    return done.future();
  }

  /**
   * Wakes the loop at each arrival's time, to the microsecond as far as the machine allows: parks
   * until {@link #SPIN_US} before it, then spins. It only wakes the loop; the loop owns all state
   * and sends.
   */
  private void pace(io.vertx.core.Context loop) {
    for (int i = 0; i < schedule.size() && pacing; i++) {
      long at = schedule.get(i).atUs();
      long wait = at - (clock.nowUs() - startUs);
      if (wait > SPIN_US) java.util.concurrent.locks.LockSupport.parkNanos((wait - SPIN_US) * 1000);
      while (clock.nowUs() - startUs < at) Thread.onSpinWait();
      while (i + 1 < schedule.size() && schedule.get(i + 1).atUs() <= at) i++;
      loop.runOnContext(v -> tick());
    }
  }

  private void tick() {
    long now = clock.nowUs() - startUs;
    while (next < schedule.size() && schedule.get(next).atUs() <= now) {
      Arrival a = schedule.get(next++);
      (a.atUs() < WARM_US ? lateWarming : late)
          .recordValue(Math.min(HIGHEST_US, Math.max(0, now - a.atUs())));
      int node = nodeFor(a.customer());
      Try t = new Try(a, a.id(), node, a.eagerTries(), a.atUs());
      if (node >= 0) {
        send(t, false);
        continue;
      }
      tries++; // the front has no node to deal it to
      open++;
      finish(t, Outcome.BROKEN, now);
    }
  }

  private int nodeFor(long customer) {
    int k = nodePorts.size();
    int first = (int) (customer % k);
    if (loadBalancer != null) return loadBalancer.route(first, k, frontMs());
    return (first + turn[first]++ % k) % k;
  }

  private void send(Try t, boolean repeat) {
    tries++;
    open++;
    Arrival a = t.a;
    int k = nodePorts.size();
    String terms = "c=" + (a.submit() ? "write" : "read") + ",t=plan,d=" + a.deadlineMs()
        + ",units=" + a.units() + ",spread=" + k + ",first=" + (a.customer() % k)
        + (repeat ? ",r=1" : "");
    List<String> words = new ArrayList<>(List.of(a.submit() ? "SVC.SUBMIT" : "SVC.QUERY",
        String.format("%016x", a.customer()), t.id, terms));
    if (a.submit()) words.add("progress-save");
    Buffer b = Buffer.buffer().appendString("*" + words.size() + "\r\n");
    for (String w : words) RespEncoder.appendBulk(b, w.getBytes(StandardCharsets.ISO_8859_1));
    if (history != null) {
      history.add("sent", "id", t.id, "node", "n" + t.node, "customer", a.customer(), "units",
          a.units(), "submit", a.submit(), "wait_ms", a.deadlineMs());
    }
    conn(t.node, a.abandonUs() > 0).send(t, b);
    long nowMs = (clock.nowUs() - startUs) / 1000;
    long deadlineMs = Math.max(1, t.dueUs / 1000 + a.deadlineMs() - nowMs);
    vertx.setTimer(deadlineMs, x -> expire(t, Outcome.TIMED_OUT));
    if (a.abandonUs() > 0) {
      vertx.setTimer(Math.max(1, (t.dueUs + a.abandonUs()) / 1000 - nowMs),
          x -> expire(t, Outcome.LEFT));
    }
  }

  /** An idle connection of the node, else a new one under the cap, else the shortest queue. */
  private Conn conn(int node, boolean own) {
    List<Conn> list = conns.get(node);
    if (!own) {
      Conn best = null;
      for (Conn c : list) {
        if (c.closed || c.own) continue;
        if (c.queue.isEmpty()) return c;
        if (best == null || c.queue.size() < best.queue.size()) best = c;
      }
      if (best != null
          && list.size() >= (loadBalancer != null ? FRONT_LINKS : s.load().connectionsPerNode()))
        return best;
    }
    Conn c = new Conn(node, own);
    list.add(c);
    net.connect(nodePorts.get(node), "127.0.0.1").onComplete(r -> {
      if (r.failed()) {
        broken(c);
        return;
      }
      NetSocket socket = r.result();
      if (c.closed) {
        socket.close();
        return;
      }
      c.socket = socket;
      socket.handler(data -> read(c, data));
      socket.closeHandler(v -> broken(c));
      socket.exceptionHandler(e -> socket.close());
      for (Buffer b : c.unsent) socket.write(b);
      c.unsent.clear();
    });
    return c;
  }

  private void read(Conn c, Buffer data) {
    c.reader.feed(data);
    try {
      for (RespValue r = c.reader.next(); r != null; r = c.reader.next()) {
        Try t = c.queue.pollFirst();
        if (t == null) continue;
        answered(t, r);
      }
    } catch (FramingException e) {
      c.socket.close();
    }
  }

  private void answered(Try t, RespValue r) {
    if (t.over) return;
    long now = clock.nowUs() - startUs;
    long latency = Math.min(HIGHEST_US, Math.max(0, now - t.dueUs));
    answered.recordValue(latency);
    Outcome o;
    if ((r instanceof RespValue.Bulk b && b.bytes() != null)
        || (r instanceof RespValue.Array m && m.elements() != null && !m.elements().isEmpty()
            && m.elements().get(0) instanceof RespValue.Bulk first && first.bytes() != null)) {
      o = Outcome.PASSED;
      passed.recordValue(latency);
      passedIds.add(t.id);
      double[] use = customerUse.computeIfAbsent(t.a.customer(),
          k -> new double[] {0, now / 1000.0});
      use[0] += t.a.units();
    } else if (r instanceof RespValue.Line l && l.type() == '-' && l.text().startsWith("BUSY")) {
      o = Outcome.DENIED;
      if (l.text().length() > 5) retryAfter++;
      double[] use = customerUse.get(t.a.customer());
      double allowance = s.plan().burst()
          + (use == null ? 0 : s.plan().rate() * (now / 1000.0 - use[1]) / 1000);
      if ((use == null ? 0 : use[0]) + t.a.units() <= allowance - ROOM * s.plan().burst())
        deniedWithRoom++;
    } else {
      o = Outcome.ABORTED;
    }
    perSecondLatency.computeIfAbsent(now / 1_000_000, k -> new Histogram(HIGHEST_US, 2))
        .recordValue(latency);
    finish(t, o, now);
    if (o == Outcome.DENIED && t.triesLeft > 0) {
      send(new Try(t.a, t.id + "-r" + t.triesLeft, t.node, t.triesLeft - 1, now), true);
    }
  }

  private void expire(Try t, Outcome o) {
    if (t.over) return;
    finish(t, o, clock.nowUs() - startUs);
    Conn c = t.conn;
    if (c != null) {
      c.closed = true;
      if (c.socket != null) c.socket.close();
      else broken(c);
    }
  }

  private void broken(Conn c) {
    c.closed = true;
    conns.get(c.node).remove(c);
    long now = clock.nowUs() - startUs;
    for (Try t = c.queue.pollFirst(); t != null; t = c.queue.pollFirst())
      if (!t.over) finish(t, Outcome.BROKEN, now);
  }

  private void finish(Try t, Outcome o, long nowUs) {
    t.over = true;
    open--;
    outcomes.merge(o, 1L, Long::sum);
    if (history != null)
      history.add("got", "id", t.id, "node", "n" + t.node, "how", o.name(), "ms", nowUs / 1000);
    long[] row = perSecond.computeIfAbsent(nowUs / 1_000_000, k -> new long[3]);
    row[o == Outcome.PASSED ? 0 : o == Outcome.DENIED ? 1 : 2]++;
  }

  // ---- what the run file takes; read after run() is done

  public long attempts() {
    return tries;
  }

  public Map<Outcome, Long> outcomes() {
    return outcomes;
  }

  public long retryAfter() {
    return retryAfter;
  }

  public long deniedWithRoom() {
    return deniedWithRoom;
  }

  public List<String> passedIds() {
    return passedIds;
  }

  public Map<String, Long> latency() {
    return percentiles(passed, answered);
  }

  public Map<String, Long> senderLate() {
    Map<String, Long> m = new TreeMap<>();
    m.put("p50", late.getValueAtPercentile(50));
    m.put("p99", late.getValueAtPercentile(99));
    m.put("p999", late.getValueAtPercentile(99.9));
    m.put("max", late.getMaxValue());
    m.put("warming_p99", lateWarming.getValueAtPercentile(99));
    return m;
  }

  public List<long[]> perSecond() {
    List<long[]> out = new ArrayList<>();
    for (var e : perSecond.entrySet()) {
      Histogram h = perSecondLatency.get(e.getKey());
      out.add(new long[] {e.getKey(), e.getValue()[0], e.getValue()[1], e.getValue()[2],
          h == null ? 0 : h.getValueAtPercentile(99)});
    }
    return out;
  }

  public Future<Void> close() {
    return vertx.close();
  }

  private static Map<String, Long> percentiles(Histogram passed, Histogram all) {
    Map<String, Long> m = new TreeMap<>();
    m.put("passed_p50", passed.getValueAtPercentile(50));
    m.put("passed_p99", passed.getValueAtPercentile(99));
    m.put("passed_p999", passed.getValueAtPercentile(99.9));
    m.put("answered_p50", all.getValueAtPercentile(50));
    m.put("answered_p99", all.getValueAtPercentile(99));
    m.put("answered_p999", all.getValueAtPercentile(99.9));
    m.put("answered_max", all.getMaxValue());
    return m;
  }
}
