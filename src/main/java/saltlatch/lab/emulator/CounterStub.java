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
 * An emulated counter, which speaks the counter's line protocol: {@code bump NAME AMOUNT LIFE_MS}
 * is answered with {@code ok TOTAL}, {@code busy} or {@code error}, and {@code ping} with
 * {@code pong}. The answers on a connection are in the order of its calls. A node may have at most
 * {@link #MAX_CONNECTIONS} connections, and connections idle for more than {@link #IDLE_MS} are
 * closed.
 *
 * <p>Each node has its own listening address, because on loopback the address is the only way to
 * distinguish the nodes. The nodes are divided into groups. The groups share one store, except
 * while a {@code split} fault is active: then the first group keeps the store and the other groups
 * share a copy, whose writes are lost when the split ends. The other faults are {@code silent}
 * (calls are held and answered when the fault ends), {@code slow} (each call takes
 * {@code extra_ms} longer), {@code refuse} (new connections are closed and calls answered
 * {@code busy}) and {@code empty} (all totals are deleted at {@code at_s}).
 *
 * <p>If {@code calls_per_second} is set, calls are served one after another at that rate, and a
 * call is rejected with {@code busy} if more than {@code line} calls would be waiting.
 */
public final class CounterStub {
  // The protocol's limit on the connections of an edge node to one address.
  static final int MAX_CONNECTIONS = 32;
  static final double IDLE_MS = 10_000;
  private static final double MAX_LIFE_MS = 60_000;
  private static final int MAX_LINE_BYTES = 256;
  private static final int MAX_NAME_LENGTH = 64;
  private static final BigDecimal MAX_AMOUNT = BigDecimal.valueOf(1e9);
  private static final long TICK_MS = 50;
  private static final String END_OF_LINE = "\r\n";
  private static final MathContext SEVEN_DIGITS = new MathContext(7);

  private final Vertx vertx;
  private final LabClock clock;
  private final Scenario.Counter spec;
  private final int groupCount;
  private final int nodeCount;
  private final List<NetServer> listeners = new ArrayList<>();
  private final List<List<Connection>> connectionsByNode = new ArrayList<>();
  private final Map<String, Entry> store = new HashMap<>();
  private Map<String, Entry> splitStore; // of all groups but the first; null if there is no split
  private final List<Boolean> emptied = new ArrayList<>(); // per fault: an empty that was applied
  private long calls;
  private long bytesIn;
  private long bytesOut;
  private long held;
  private long rejected;
  private double freeAtMs; // when all calls accepted so far will have been served

  private static final class Entry {
    BigDecimal total = BigDecimal.ZERO;
    double expiresMs;
  }

  private static final class Connection {
    final NetSocket socket;
    final int group;
    // One slot per call, filled when its answer is ready.
    final ArrayDeque<String[]> answerSlots = new ArrayDeque<>();
    double lastActiveMs;
    double lastDueMs;

    Connection(NetSocket socket, int group) {
      this.socket = socket;
      this.group = group;
    }
  }

  CounterStub(Vertx vertx, LabClock clock, Scenario.Counter spec, int nodeCount) {
    this.nodeCount = nodeCount;
    this.vertx = vertx;
    this.clock = clock;
    this.spec = spec;
    int groups = 1;
    for (Fault fault : spec.faults()) {
      if (fault.kind().equals("split")) groups = Math.max(groups, Math.max(2, fault.groups()));
    }
    this.groupCount = groups;
    emptied.addAll(Collections.nCopies(spec.faults().size(), false));
  }

  /** Listens on one loopback port per node; completes when all ports are open. */
  Future<Void> start() {
    List<Future<NetServer>> listening = new ArrayList<>();
    for (int i = 0; i < Math.max(nodeCount, groupCount); i++) {
      int node = i;
      connectionsByNode.add(new ArrayList<>());
      NetServer listener = vertx
          .createNetServer(new NetServerOptions().setHost("127.0.0.1").setPort(0));
      listener.connectHandler(socket -> accept(socket, node));
      listeners.add(listener);
      listening.add(listener.listen());
    }
    vertx.setPeriodic(TICK_MS, timer -> tick());
    return Future.all(listening).mapEmpty();
  }

  /** Returns the ports, one per node, in the order of the nodes. */
  List<Integer> ports() {
    return listeners.stream().map(NetServer::actualPort).toList();
  }

  /** Returns the number of calls received. */
  long calls() {
    return calls;
  }

  /** Returns the bytes of all calls, including their line ends. */
  long bytesIn() {
    return bytesIn;
  }

  /** Returns the bytes of all answers, including their line ends. */
  long bytesOut() {
    return bytesOut;
  }

  /** Returns the number of calls that a {@code silent} fault held back. */
  long held() {
    return held;
  }

  /** Returns the number of calls rejected because too many were waiting. */
  long rejected() {
    return rejected;
  }

  private boolean isFaultActive(String kind, double nowMs) {
    return Fault.anyHolds(spec.faults(), kind, nowMs);
  }

  private void accept(NetSocket socket, int node) {
    double nowMs = clock.nowMs();
    List<Connection> connections = connectionsByNode.get(node);
    if (isFaultActive("refuse", nowMs) || connections.size() >= MAX_CONNECTIONS) {
      socket.close();
      return;
    }
    Connection connection = new Connection(socket, node % groupCount);
    connection.lastActiveMs = nowMs;
    connections.add(connection);
    socket.closeHandler(v -> connections.remove(connection));
    socket.exceptionHandler(e -> socket.close());
    socket.handler(
        RecordParser.newDelimited(END_OF_LINE, line -> execute(connection, line.toString()))
            .maxRecordSize(MAX_LINE_BYTES));
  }

  private void execute(Connection connection, String line) {
    double nowMs = clock.nowMs();
    connection.lastActiveMs = nowMs;
    calls++;
    bytesIn += line.length() + END_OF_LINE.length();
    String[] slot = new String[1];
    connection.answerSlots.addLast(slot);
    String[] words = line.split(" ", 0);
    if (words.length == 1 && words[0].equals("ping")) {
      answer(connection, slot, "pong", nowMs);
      return;
    }
    if (isFaultActive("refuse", nowMs)) {
      answer(connection, slot, "busy", nowMs);
      return;
    }
    if (words.length != 4 || !words[0].equals("bump") || words[1].isEmpty()
        || words[1].length() > MAX_NAME_LENGTH) {
      answer(connection, slot, "error", nowMs);
      return;
    }
    BigDecimal parsedAmount;
    double lifeMs;
    try {
      parsedAmount = new BigDecimal(words[2]);
      lifeMs = Math.min(MAX_LIFE_MS, Double.parseDouble(words[3]));
      if (lifeMs < 1 || parsedAmount.abs().compareTo(MAX_AMOUNT) > 0)
        throw new NumberFormatException();
    } catch (NumberFormatException e) {
      answer(connection, slot, "error", nowMs);
      return;
    }
    double servedAtMs = nowMs;
    if (spec.callsPerSecond() > 0) {
      servedAtMs = Math.max(nowMs, freeAtMs) + 1000 / spec.callsPerSecond();
      if (servedAtMs - nowMs > spec.line() * 1000 / spec.callsPerSecond()) {
        rejected++;
        answer(connection, slot, "busy", nowMs);
        return;
      }
      freeAtMs = servedAtMs;
    }
    double dueMs = servedAtMs + spec.latencyMs();
    for (Fault fault : spec.faults()) {
      if (!fault.holds(nowMs)) continue;
      if (fault.kind().equals("slow")) dueMs += fault.extraMs();
      if (fault.kind().equals("silent")) {
        dueMs = Math.max(dueMs, (fault.atS() + fault.forS()) * 1000);
        held++;
      }
    }
    dueMs = Math.max(dueMs, connection.lastDueMs);
    connection.lastDueMs = dueMs;
    String name = words[1];
    BigDecimal amount = parsedAmount;
    vertx.setTimer(Math.max(1, (long) Math.ceil(dueMs - nowMs)), timer -> {
      double servedMs = clock.nowMs();
      tick();
      Map<String, Entry> groupStore = splitStore != null && connection.group > 0 ? splitStore
          : store;
      Entry entry = groupStore.get(name);
      if (entry == null || entry.expiresMs <= servedMs) {
        entry = new Entry();
        entry.expiresMs = servedMs + lifeMs;
        groupStore.put(name, entry);
      }
      entry.total = entry.total.add(amount, SEVEN_DIGITS);
      answer(connection, slot,
          "ok " + entry.total.round(SEVEN_DIGITS).stripTrailingZeros().toPlainString(), servedMs);
    });
  }

  /** Fills a slot and writes every answer that no earlier call delays. */
  private void answer(Connection connection, String[] slot, String text, double nowMs) {
    slot[0] = text;
    while (!connection.answerSlots.isEmpty() && connection.answerSlots.peekFirst()[0] != null) {
      Buffer line = Buffer.buffer(connection.answerSlots.pollFirst()[0] + END_OF_LINE);
      bytesOut += line.length();
      connection.socket.write(line);
    }
    connection.lastActiveMs = nowMs;
  }

  /** Applies {@code empty} faults and the start and end of splits, and closes idle connections. */
  private void tick() {
    double nowMs = clock.nowMs();
    for (int i = 0; i < spec.faults().size(); i++) {
      Fault fault = spec.faults().get(i);
      if (fault.kind().equals("empty") && !emptied.get(i) && nowMs >= fault.atS() * 1000) {
        emptied.set(i, true);
        store.clear();
        if (splitStore != null) splitStore.clear();
      }
    }
    boolean splitActive = isFaultActive("split", nowMs);
    if (splitActive && splitStore == null) {
      splitStore = new HashMap<>();
      for (var entry : store.entrySet()) {
        Entry copy = new Entry();
        copy.total = entry.getValue().total;
        copy.expiresMs = entry.getValue().expiresMs;
        splitStore.put(entry.getKey(), copy);
      }
    } else if (!splitActive && splitStore != null) {
      splitStore = null;
    }
    for (List<Connection> connections : connectionsByNode) {
      for (Connection connection : List.copyOf(connections)) {
        if (connection.answerSlots.isEmpty() && nowMs - connection.lastActiveMs > IDLE_MS)
          connection.socket.close();
      }
    }
  }
}
