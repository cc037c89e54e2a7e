package saltlatch.lab.emulator;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.scenario.Scenario;
import saltlatch.lab.scenario.Scenario.Fault;

/**
 * A stand-in counter speaking the counter's lines: {@code bump NAME AMOUNT LIFE_MS} answered
 * {@code ok TOTAL}, {@code busy} or {@code error}; {@code ping} answered {@code pong}. Answers in
 * order of calls on a connection; at most {@link #MOST_CONNECTIONS} connections a node, idle ones
 * closed after {@link #IDLE_MS}. One listening address a node, by which the stand-in tells them
 * apart on loopback, and they fall into groups; the groups share one store until a {@code split}
 * holds, when each side keeps its own and the second side's writes are lost when it heals. Faults:
 * {@code silent} (calls held and answered when it ends), {@code slow} ({@code extra_ms} each),
 * {@code refuse} (new connections closed, calls answered {@code busy}), {@code empty} (all totals
 * forgotten at {@code at_s}). With {@code calls_per_second} calls are served in turn, and turned
 * away with {@code busy} while more than {@code line} wait.
 */
public final class CounterStub {
  // an edge node's connections at one address, as the protocol page says
  static final int MOST_CONNECTIONS = 32;
  static final double IDLE_MS = 10_000; // a connection idle this long is closed
  private static final double LONGEST_LIFE_MS = 60_000;
  private static final String END_OF_LINE = "\r\n";
  private static final MathContext SEVEN = new MathContext(7);

  private final Vertx vertx;
  private final LabClock clock;
  private final Scenario.Counter spec;
  private final int groups;
  private final int nodes;
  private final List<NetServer> nets = new ArrayList<>();
  private final List<List<Conn>> conns = new ArrayList<>();
  private final Map<String, Entry> shared = new HashMap<>();
  private Map<String, Entry> split; // the second side's store while a split holds
  private final List<Boolean> emptied = new ArrayList<>();
  private long calls;
  private long bytesIn;
  private long bytesOut;
  private long held;
  private long turnedAway;
  private double freeMs; // when the calls taken so far will have had their turn

  private static final class Entry {
    BigDecimal total = BigDecimal.ZERO;
    double expiresMs;
  }

  private static final class Conn {
    final NetSocket socket;
    final int group;
    final ArrayDeque<String[]> slots = new ArrayDeque<>();
    double lastMs;
    double lastDueMs;

    Conn(NetSocket socket, int group) {
      this.socket = socket;
      this.group = group;
    }
  }

  CounterStub(Vertx vertx, LabClock clock, Scenario.Counter spec, int nodes) {
    this.nodes = nodes;
    this.vertx = vertx;
    this.clock = clock;
    this.spec = spec;
    int g = 1;
    for (Fault f : spec.faults())
      if (f.kind().equals("split")) g = Math.max(g, Math.max(2, f.groups()));
    this.groups = g;
    emptied.addAll(Collections.nCopies(spec.faults().size(), false));
  }

  Future<Void> start() {
    List<Future<NetServer>> all = new ArrayList<>();
    for (int n = 0; n < Math.max(nodes, groups); n++) {
      int node = n;
      conns.add(new ArrayList<>());
      NetServer net = vertx.createNetServer(new NetServerOptions().setHost("127.0.0.1").setPort(0));
      net.connectHandler(s -> accept(s, node));
      nets.add(net);
      all.add(net.listen());
    }
    vertx.setPeriodic(50, t -> tick());
    return Future.all(all).mapEmpty();
  }

  /** A node's address each, in order. */
  List<Integer> ports() {
    return nets.stream().map(NetServer::actualPort).toList();
  }

  long calls() {
    return calls;
  }

  /** Bytes of calls, their ends of line with them. */
  long bytesIn() {
    return bytesIn;
  }

  /** Bytes of answers, their ends of line with them. */
  long bytesOut() {
    return bytesOut;
  }

  /** Calls that a silence held back. */
  long held() {
    return held;
  }

  /** Calls turned away because too many waited. */
  long turnedAway() {
    return turnedAway;
  }

  private boolean holds(String kind, double now) {
    return Fault.anyHolds(spec.faults(), kind, now);
  }

  private void accept(NetSocket socket, int node) {
    double now = clock.nowMs();
    List<Conn> mine = conns.get(node);
    if (holds("refuse", now) || mine.size() >= MOST_CONNECTIONS) {
      socket.close();
      return;
    }
    Conn c = new Conn(socket, node % groups);
    c.lastMs = now;
    mine.add(c);
    socket.closeHandler(v -> mine.remove(c));
    socket.exceptionHandler(e -> socket.close());
    socket.handler(RecordParser.newDelimited(END_OF_LINE, line -> call(c, line.toString()))
        .maxRecordSize(256));
  }

  private void call(Conn c, String line) {
    double now = clock.nowMs();
    c.lastMs = now;
    calls++;
    bytesIn += line.length() + END_OF_LINE.length();
    String[] slot = new String[1];
    c.slots.addLast(slot);
    String[] w = line.split(" ", 0);
    if (w.length == 1 && w[0].equals("ping")) {
      answer(c, slot, "pong", now);
      return;
    }
    if (holds("refuse", now)) {
      answer(c, slot, "busy", now);
      return;
    }
    if (w.length != 4 || !w[0].equals("bump") || w[1].isEmpty() || w[1].length() > 64) {
      answer(c, slot, "error", now);
      return;
    }
    BigDecimal amount;
    double life;
    try {
      amount = new BigDecimal(w[2]);
      life = Math.min(LONGEST_LIFE_MS, Double.parseDouble(w[3]));
      if (life < 1 || amount.abs().compareTo(BigDecimal.valueOf(1e9)) > 0)
        throw new NumberFormatException();
    } catch (NumberFormatException e) {
      answer(c, slot, "error", now);
      return;
    }
    double turn = now;
    if (spec.callsPerSecond() > 0) {
      turn = Math.max(now, freeMs) + 1000 / spec.callsPerSecond();
      if (turn - now > spec.line() * 1000 / spec.callsPerSecond()) {
        turnedAway++;
        answer(c, slot, "busy", now);
        return;
      }
      freeMs = turn;
    }
    double due = turn + spec.latencyMs();
    for (Fault f : spec.faults()) {
      if (!f.holds(now)) continue;
      if (f.kind().equals("slow")) due += f.extraMs();
      if (f.kind().equals("silent")) {
        due = Math.max(due, (f.atS() + f.forS()) * 1000);
        held++;
      }
    }
    due = Math.max(due, c.lastDueMs);
    c.lastDueMs = due;
    String name = w[1];
    BigDecimal add = amount;
    vertx.setTimer(Math.max(1, (long) Math.ceil(due - now)), t -> {
      double at = clock.nowMs();
      tick();
      Map<String, Entry> store = split != null && c.group > 0 ? split : shared;
      Entry e = store.get(name);
      if (e == null || e.expiresMs <= at) {
        e = new Entry();
        e.expiresMs = at + life;
        store.put(name, e);
      }
      e.total = e.total.add(add, SEVEN);
      answer(c, slot, "ok " + e.total.round(SEVEN).stripTrailingZeros().toPlainString(), at);
    });
  }

  private void answer(Conn c, String[] slot, String text, double now) {
    slot[0] = text;
    while (!c.slots.isEmpty() && c.slots.peekFirst()[0] != null) {
      Buffer out = Buffer.buffer(c.slots.pollFirst()[0] + END_OF_LINE);
      bytesOut += out.length();
      c.socket.write(out);
    }
    c.lastMs = now;
  }

  /** Applies what time brings: empties, a split's start and end, idle closes. */
  private void tick() {
    double now = clock.nowMs();
    for (int i = 0; i < spec.faults().size(); i++) {
      Fault f = spec.faults().get(i);
      if (f.kind().equals("empty") && !emptied.get(i) && now >= f.atS() * 1000) {
        emptied.set(i, true);
        shared.clear();
        if (split != null) split.clear();
      }
    }
    boolean splitNow = holds("split", now);
    if (splitNow && split == null) {
      split = new HashMap<>();
      for (var e : shared.entrySet()) {
        Entry copy = new Entry();
        copy.total = e.getValue().total;
        copy.expiresMs = e.getValue().expiresMs;
        split.put(e.getKey(), copy);
      }
    } else if (!splitNow && split != null) {
      split = null;
    }
    for (List<Conn> group : conns) {
      for (Conn c : List.copyOf(group))
        if (c.slots.isEmpty() && now - c.lastMs > IDLE_MS) c.socket.close();
    }
  }
}
