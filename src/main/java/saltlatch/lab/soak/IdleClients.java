package saltlatch.lab.soak;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import saltlatch.lab.rig.CommandText;

/**
 * Clients with idle connections to a node, which send their requests round the time at which the
 * node closes them: one half at random times, the others as soon as the node closes an unused
 * connection, two for each one that it closes.
 * Runs on a thread of its own; {@link #finish} returns what became of the requests.
 */
final class IdleClients implements AutoCloseable {
  /** From the sending of one piece of a request to that of the next one. */
  private static final long PIECE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final long POLL_MS = 1;
  private static final int CLIENTS_PER_CLOSE = 2;

  private final List<IdleConnection> connections = new ArrayList<>();
  private final Selector selector = Selector.open();
  private final SplittableRandom random;
  private Thread thread;
  private long terminatedNanos;
  private long lastNanos;
  private volatile IOException failure;

  /** Connects the clients; each has got the reply to a PING when this returns. */
  IdleClients(int port, int count, RequestForm form, long deadlineMs, SplittableRandom random)
      throws IOException {
    this.random = random;
    for (int i = 0; i < count; i++) {
      List<String> pieces = form.pieces("i" + port + "-" + random.nextInt(1 << 30) + "-" + i,
          deadlineMs);
      IdleConnection connection = new IdleConnection(port, pieces, form.requests());
      connections.add(connection);
      ping(connection);
      connection.channel().configureBlocking(false);
      connection.channel().register(selector, SelectionKey.OP_READ, connection);
    }
  }

  private static void ping(IdleConnection connection) throws IOException {
    var socket = connection.channel().socket();
    socket.getOutputStream().write(CommandText.of("PING").getBytes(StandardCharsets.ISO_8859_1));
    if (socket.getInputStream().readNBytes("+PONG\r\n".length()).length == 0)
      throw new IOException("the node has closed a connection that sent PING");
  }

  /**
   * Starts to send.
   *
   * @param terminatedNanos when the node got SIGTERM
   * @param fromMs          the earliest time of a request, after SIGTERM
   * @param toMs            the latest time of a request, after SIGTERM
   * @param lastMs          when the requests without an answer are lost, after SIGTERM
   */
  void start(long terminatedNanos, long fromMs, long toMs, long lastMs) {
    this.terminatedNanos = terminatedNanos;
    lastNanos = terminatedNanos + TimeUnit.MILLISECONDS.toNanos(lastMs);
    for (int i = 0; i < connections.size(); i++) {
      long afterMs = i % 2 == 0 ? fromMs + random.nextLong(toMs - fromMs) : toMs;
      connections.get(i).scheduleAt(terminatedNanos + TimeUnit.MILLISECONDS.toNanos(afterMs));
    }
    thread = new Thread(this::run, "idle-clients");
    thread.start();
  }

  private void run() {
    try {
      while (System.nanoTime() < lastNanos && !allJudged()) step();
    } catch (IOException e) {
      failure = e;
    }
  }

  private boolean allJudged() {
    return connections.stream().allMatch(IdleConnection::isJudged);
  }

  private void step() throws IOException {
    selector.select(POLL_MS);
    long closedBefore = closedUnused();
    for (SelectionKey key : selector.selectedKeys()) readFrom(key);
    selector.selectedKeys().clear();
    long nowNanos = System.nanoTime();
    sendNextAt(nowNanos, CLIENTS_PER_CLOSE * (closedUnused() - closedBefore));
    for (IdleConnection connection : connections) sendIfDue(connection);
    judgeEnded();
  }

  /** Returns how many unused connections the node has closed. */
  private long closedUnused() {
    return connections.stream().filter(IdleConnection::hasEndedUnused).count();
  }

  private static void readFrom(SelectionKey key) {
    IdleConnection connection = (IdleConnection) key.attachment();
    connection.read(System.nanoTime());
    if (connection.hasEnded()) key.cancel();
  }

  /** Has the next clients send that do not send at a random time. */
  private void sendNextAt(long nanos, long clients) {
    long left = clients;
    for (int i = 1; i < connections.size() && left > 0; i += 2) {
      IdleConnection connection = connections.get(i);
      if (connection.hasEnded() || connection.dueNanos() <= nanos) continue;
      connection.scheduleAt(nanos);
      left--;
    }
  }

  private static void sendIfDue(IdleConnection connection) {
    long nowNanos = System.nanoTime();
    if (!connection.isSending() || nowNanos < connection.dueNanos()) return;
    connection.sendNext(nowNanos);
    connection.scheduleAt(nowNanos + PIECE_INTERVAL_NANOS);
  }

  private void judgeEnded() throws IOException {
    long nowNanos = System.nanoTime();
    List<IdleConnection> due = connections.stream()
        .filter(connection -> connection.isDueForJudgement(nowNanos)).toList();
    if (due.isEmpty()) return;
    Set<LocalConnections.Connection> notReset = LocalConnections.inCloseWait();
    for (IdleConnection connection : due) connection.judge(!notReset.contains(connection.ports()));
  }

  /** Waits until each connection was judged, and returns the results. */
  ClosingResult finish() throws IOException, InterruptedException {
    thread.join();
    if (failure != null) throw failure;
    return ClosingResult.of(connections, terminatedNanos);
  }

  @Override
  public void close() throws IOException {
    for (IdleConnection connection : connections) connection.close();
    selector.close();
  }
}
