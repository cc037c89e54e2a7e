package saltlatch.lab.emulator;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import saltlatch.history.HistoryWriter;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.plan.AppServerModel;
import saltlatch.lab.plan.GroundTruth;
import saltlatch.lab.scenario.Scenario;
import saltlatch.wire.FramingException;
import saltlatch.wire.resp.NamedNumbers;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespEncoder;
import saltlatch.wire.resp.RespValue;

/**
 * Emulated app servers, which speak RESP2 as the protocol documentation describes. They answer
 * {@code SVC.QUERY} and {@code SVC.SUBMIT} with an array of the value, the use
 * ({@code cost=UNITS}) and a load report, with {@code -BUSY} if they are at capacity, or with
 * {@code -ERR failed}. The answers on a connection are in the order of its commands.
 * {@link AppServerModel} decides the result of each command, and {@link GroundTruth} records which
 * requests ran. Everything runs on the emulator's one event loop.
 */
public final class AppServers {
  // Interval between checks for idle connections: shorter than any idle time of a scenario.
  private static final long IDLE_CHECK_MS = 50;

  private final Vertx vertx;
  private final LabClock clock;
  private final GroundTruth truth;
  private final List<Server> servers = new ArrayList<>();
  private long commands;
  private long spoilt;

  /** One emulated app server, which listens on its own port. */
  static final class Server {
    final AppServerModel model;
    final Set<Connection> connections = new LinkedHashSet<>();
    NetServer listener;
    int inProgress;

    Server(AppServerModel model) {
      this.model = model;
    }

    int port() {
      return listener.actualPort();
    }
  }

  /** A connection and its answers that are not written yet, in the order of the commands. */
  final class Connection {
    final Server server;
    final NetSocket socket;
    final RespDecoder decoder = new RespDecoder();
    // One slot per command, filled when its answer is ready.
    final ArrayDeque<Buffer[]> answerSlots = new ArrayDeque<>();
    double lastActiveMs;
    boolean closed;

    Connection(Server server, NetSocket socket, double nowMs) {
      this.server = server;
      this.socket = socket;
      this.lastActiveMs = nowMs;
    }

    /** Fills a slot and writes every answer that no earlier command delays. */
    void answer(Buffer[] slot, Buffer answer) {
      slot[0] = answer;
      while (!answerSlots.isEmpty() && answerSlots.peekFirst()[0] != null) {
        Buffer next = answerSlots.pollFirst()[0];
        if (!closed) socket.write(next);
      }
      lastActiveMs = clock.nowMs();
    }
  }

  private final HistoryWriter history; // null: no history is written

  AppServers(Vertx vertx, LabClock clock, GroundTruth truth, Scenario scenario,
      HistoryWriter history) {
    this.history = history;
    this.vertx = vertx;
    this.clock = clock;
    this.truth = truth;
    for (int i = 0; i < scenario.servers().count(); i++)
      servers.add(new Server(new AppServerModel(i, scenario.servers(), scenario.seed())));
  }

  /** Listens on one loopback port per server; completes when all servers listen. */
  Future<Void> start() {
    List<Future<NetServer>> listening = new ArrayList<>();
    for (Server server : servers) {
      server.listener = vertx.createNetServer(
          new NetServerOptions().setHost("127.0.0.1").setPort(0).setAcceptBacklog(1024));
      server.listener.connectHandler(socket -> accept(server, socket));
      listening.add(server.listener.listen());
    }
    vertx.setPeriodic(IDLE_CHECK_MS, timer -> closeIdleConnections());
    return Future.all(listening).mapEmpty();
  }

  /** Returns the servers' ports, in the order of their numbers. */
  List<Integer> ports() {
    return servers.stream().map(Server::port).toList();
  }

  /** Returns the number of {@code SVC} commands received. */
  long commands() {
    return commands;
  }

  /** Returns the number of spoilt answers. */
  long spoilt() {
    return spoilt;
  }

  private void accept(Server server, NetSocket socket) {
    double nowMs = clock.nowMs();
    if (!server.model.accepts(nowMs)) {
      socket.close();
      return;
    }
    Connection connection = new Connection(server, socket, nowMs);
    server.connections.add(connection);
    socket.closeHandler(v -> {
      connection.closed = true;
      server.connections.remove(connection);
    });
    socket.exceptionHandler(e -> socket.close());
    socket.handler(data -> {
      connection.decoder.feed(data);
      try {
        for (RespValue value = connection.decoder.next(); value != null; value = connection.decoder
            .next())
          execute(connection, value);
      } catch (FramingException e) {
        socket.close();
      }
    });
  }

  /**
   * Closes connections that have been idle for the server's idle time, as a real server does, even
   * if the client is about to send a command.
   */
  private void closeIdleConnections() {
    double nowMs = clock.nowMs();
    for (Server server : servers) {
      double idleMs = server.model.idleCloseMs(nowMs);
      if (idleMs <= 0) continue;
      for (Connection connection : List.copyOf(server.connections)) {
        if (connection.answerSlots.isEmpty() && nowMs - connection.lastActiveMs >= idleMs)
          connection.socket.close();
      }
    }
  }

  private void execute(Connection connection, RespValue command) {
    double nowMs = clock.nowMs();
    connection.lastActiveMs = nowMs;
    Buffer[] slot = new Buffer[1];
    connection.answerSlots.addLast(slot);
    if (!(command instanceof RespValue.Array array) || array.elements() == null
        || array.elements().isEmpty()) {
      connection.answer(slot, line("-ERR no command"));
      return;
    }
    List<String> words = new ArrayList<>();
    for (RespValue element : array.elements())
      words.add(element instanceof RespValue.Bulk bulk ? bulk.text() : "");
    String name = words.get(0).toUpperCase(java.util.Locale.ROOT);
    switch (name) {
      case "PING" -> connection.answer(slot, line("+PONG"));
      case "CLIENT", "SELECT" -> connection.answer(slot, line("+OK"));
      case "INFO" -> connection.answer(slot, line("-NOPERM"));
      case "SVC.QUERY", "SVC.SUBMIT" ->
        executeRequest(connection, slot, name.equals("SVC.SUBMIT"), words, nowMs);
      default -> connection.answer(slot, line("-ERR unknown command"));
    }
  }

  private void executeRequest(Connection connection, Buffer[] slot, boolean submit,
      List<String> words, double nowMs) {
    if (words.size() < 4) {
      connection.answer(slot, line("-SYNTAX"));
      return;
    }
    commands++;
    long customer;
    try {
      customer = Long.parseUnsignedLong(words.get(1), 16);
    } catch (NumberFormatException e) {
      connection.answer(slot, line("-SYNTAX"));
      return;
    }
    String id = words.get(2);
    int units = (int) Math.max(1, NamedNumbers.find(words.get(3), "units"));
    truth.recordAttempt(id, customer, submit, units);
    Server server = connection.server;
    AppServerModel.Decision decision = server.model.decide(nowMs, server.inProgress);
    if (decision.verdict() != AppServerModel.Verdict.BUSY) truth.recordPossibleRun(id);
    if (history != null) {
      history.add("command", "id", id, "srv", "s-" + server.model.index(), "submit", submit,
          "verdict", decision.verdict().name(), "units", units, "customer", customer);
    }
    switch (decision.verdict()) {
      case BUSY -> connection.answer(slot, line("-BUSY"));
      case FAIL -> connection.answer(slot, line("-ERR failed"));
      case SPOIL, SERVE -> {
        server.inProgress++;
        double answerAtMs = Math.max(nowMs + decision.latencyMs(), decision.heldUntilMs());
        vertx.setTimer(Math.max(1, (long) Math.ceil(answerAtMs - nowMs)), timer -> {
          server.inProgress--;
          truth.recordServed(id, (long) clock.nowMs());
          if (history != null)
            history.add("served", "id", id, "units", units, "customer", customer);
          if (decision.verdict() == AppServerModel.Verdict.SPOIL) {
            spoilt++;
            connection.answer(slot, line("+spoilt"));
            return;
          }
          double utilization = server.inProgress / server.model.capacity(clock.nowMs());
          String loadReport = "inflight=" + server.inProgress + ",util="
              + String.format(java.util.Locale.ROOT, "%.2f", utilization);
          connection.answer(slot, array("v:" + id, "cost=" + units, loadReport));
        });
      }
    }
  }

  /** Returns a RESP line: its text, type character included, and the end of line. */
  static Buffer line(String text) {
    return Buffer.buffer(text + "\r\n");
  }

  /** Returns a RESP array of bulk strings. */
  static Buffer array(String... elements) {
    Buffer encoded = Buffer.buffer().appendString("*" + elements.length + "\r\n");
    for (String element : elements) {
      RespEncoder.appendBulk(encoded, element.getBytes(StandardCharsets.ISO_8859_1));
    }
    return encoded;
  }
}
