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
 * Stand-in app servers speaking RESP2 as the protocol page says:
 * {@code SVC.QUERY}/{@code SVC.SUBMIT} answered with an array of value, figures on use
 * ({@code cost=UNITS}) and load report; {@code -BUSY} when full; {@code -ERR failed}; answers in
 * the order of a connection's commands. What each command meets is {@link AppServerModel}'s
 * decision; what ran is written to {@link GroundTruth}. All on the one event loop of the emulator's
 * Vert.x.
 */
public final class AppServers {
  // how often idle connections are looked at: finer than any idle time used
  private static final long SWEEP_MS = 50;

  private final Vertx vertx;
  private final LabClock clock;
  private final GroundTruth truth;
  private final List<Server> servers = new ArrayList<>();
  private long commands;
  private long spoilt;

  /** One stand-in server, listening on a port of its own. */
  static final class Server {
    final AppServerModel model;
    final Set<Conn> conns = new LinkedHashSet<>();
    NetServer net;
    int inProgress;

    Server(AppServerModel model) {
      this.model = model;
    }

    int port() {
      return net.actualPort();
    }
  }

  /** A connection with its answers waiting in order. */
  final class Conn {
    final Server server;
    final NetSocket socket;
    final RespDecoder reader = new RespDecoder();
    // a slot each command, filled when its answer is ready
    final ArrayDeque<Buffer[]> pending = new ArrayDeque<>();
    double lastMs;
    boolean closed;

    Conn(Server server, NetSocket socket, double nowMs) {
      this.server = server;
      this.socket = socket;
      this.lastMs = nowMs;
    }

    void ready(Buffer[] slot, Buffer answer) {
      slot[0] = answer;
      while (!pending.isEmpty() && pending.peekFirst()[0] != null) {
        Buffer out = pending.pollFirst()[0];
        if (!closed) socket.write(out);
      }
      lastMs = clock.nowMs();
    }
  }

  private final HistoryWriter history; // null: none is kept

  AppServers(Vertx vertx, LabClock clock, GroundTruth truth, Scenario s, HistoryWriter history) {
    this.history = history;
    this.vertx = vertx;
    this.clock = clock;
    this.truth = truth;
    for (int i = 0; i < s.servers().count(); i++)
      servers.add(new Server(new AppServerModel(i, s.servers(), s.seed())));
  }

  /** Listens on loopback, a port each; done when all listen. */
  Future<Void> start() {
    List<Future<NetServer>> all = new ArrayList<>();
    for (Server srv : servers) {
      srv.net = vertx.createNetServer(
          new NetServerOptions().setHost("127.0.0.1").setPort(0).setAcceptBacklog(1024));
      srv.net.connectHandler(socket -> accept(srv, socket));
      all.add(srv.net.listen());
    }
    vertx.setPeriodic(SWEEP_MS, t -> sweep());
    return Future.all(all).mapEmpty();
  }

  List<Integer> ports() {
    return servers.stream().map(Server::port).toList();
  }

  long commands() {
    return commands;
  }

  long spoilt() {
    return spoilt;
  }

  private void accept(Server srv, NetSocket socket) {
    double now = clock.nowMs();
    if (!srv.model.accepts(now)) {
      socket.close();
      return;
    }
    Conn c = new Conn(srv, socket, now);
    srv.conns.add(c);
    socket.closeHandler(v -> {
      c.closed = true;
      srv.conns.remove(c);
    });
    socket.exceptionHandler(e -> socket.close());
    socket.handler(data -> {
      c.reader.feed(data);
      try {
        for (RespValue r = c.reader.next(); r != null; r = c.reader.next()) command(c, r);
      } catch (FramingException e) {
        socket.close();
      }
    });
  }

  /**
   * Connections idle past the box's idle time are closed, as a real server does, whatever the
   * client is about to send.
   */
  private void sweep() {
    double now = clock.nowMs();
    for (Server srv : servers) {
      double idle = srv.model.idleCloseMs(now);
      if (idle <= 0) continue;
      for (Conn c : List.copyOf(srv.conns)) {
        if (c.pending.isEmpty() && now - c.lastMs >= idle) c.socket.close();
      }
    }
  }

  private void command(Conn c, RespValue r) {
    double now = clock.nowMs();
    c.lastMs = now;
    Buffer[] slot = new Buffer[1];
    c.pending.addLast(slot);
    if (!(r instanceof RespValue.Array m) || m.elements() == null || m.elements().isEmpty()) {
      c.ready(slot, line("-ERR no command"));
      return;
    }
    List<String> words = new ArrayList<>();
    for (RespValue item : m.elements()) words.add(item instanceof RespValue.Bulk b ? b.text() : "");
    String verb = words.get(0).toUpperCase(java.util.Locale.ROOT);
    switch (verb) {
      case "PING" -> c.ready(slot, line("+PONG"));
      case "CLIENT", "SELECT" -> c.ready(slot, line("+OK"));
      case "INFO" -> c.ready(slot, line("-NOPERM"));
      case "SVC.QUERY", "SVC.SUBMIT" -> work(c, slot, verb.equals("SVC.SUBMIT"), words, now);
      default -> c.ready(slot, line("-ERR unknown command"));
    }
  }

  private void work(Conn c, Buffer[] slot, boolean submit, List<String> words, double now) {
    if (words.size() < 4) {
      c.ready(slot, line("-SYNTAX"));
      return;
    }
    commands++;
    long customer;
    try {
      customer = Long.parseUnsignedLong(words.get(1), 16);
    } catch (NumberFormatException e) {
      c.ready(slot, line("-SYNTAX"));
      return;
    }
    String id = words.get(2);
    int units = (int) Math.max(1, NamedNumbers.find(words.get(3), "units"));
    truth.recordAttempt(id, customer, submit, units);
    Server srv = c.server;
    AppServerModel.Decision decision = srv.model.decide(now, srv.inProgress);
    if (decision.verdict() != AppServerModel.Verdict.BUSY) truth.recordPossibleRun(id);
    if (history != null) {
      history.add("command", "id", id, "srv", "s-" + srv.model.index(), "submit", submit, "verdict",
          decision.verdict().name(), "units", units, "customer", customer);
    }
    switch (decision.verdict()) {
      case BUSY -> c.ready(slot, line("-BUSY"));
      case FAIL -> c.ready(slot, line("-ERR failed"));
      case SPOIL, SERVE -> {
        srv.inProgress++;
        double at = Math.max(now + decision.latencyMs(), decision.heldUntilMs());
        vertx.setTimer(Math.max(1, (long) Math.ceil(at - now)), t -> {
          srv.inProgress--;
          truth.recordServed(id, (long) clock.nowMs());
          if (history != null)
            history.add("served", "id", id, "units", units, "customer", customer);
          if (decision.verdict() == AppServerModel.Verdict.SPOIL) {
            spoilt++;
            c.ready(slot, line("+spoilt"));
            return;
          }
          String load = "inflight=" + srv.inProgress + ",util=" + String.format(
              java.util.Locale.ROOT, "%.2f", srv.inProgress / srv.model.capacity(clock.nowMs()));
          c.ready(slot, array("v:" + id, "cost=" + units, load));
        });
      }
    }
  }

  static Buffer line(String text) {
    return Buffer.buffer(text + "\r\n");
  }

  static Buffer array(String... items) {
    Buffer out = Buffer.buffer().appendString("*" + items.length + "\r\n");
    for (String s : items) {
      RespEncoder.appendBulk(out, s.getBytes(StandardCharsets.ISO_8859_1));
    }
    return out;
  }
}
