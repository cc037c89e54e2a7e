package saltlatch.lab.flood;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import saltlatch.lab.rig.CommandText;
import saltlatch.wire.FramingException;
import saltlatch.wire.resp.RespDecoder;

/**
 * The usual clients of all nodes: open-loop Poisson arrivals, each request on a connection of which
 * no answer is outstanding, with a new connection when all are busy. Measures the time from the
 * sending of a request to its whole answer, however late it comes. Runs on one event loop.
 */
final class UsualClients implements AutoCloseable {
  private static final long ABANDON_AFTER_MS = 5_000; // the longest wait for an answer
  private static final double SUBMIT_SHARE = 0.2;
  private static final int CUSTOMERS = 200;
  private static final double NO_ANSWER = -1;

  private final Vertx vertx = Vertx.vertx();
  private final NetClient net = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
  private final Map<Integer, ArrayDeque<Connection>> idleByPort = new HashMap<>();
  private final List<Integer> ports;
  private final double ratePerSecond;
  private final long deadlineMs;
  private final SplittableRandom random;
  private final List<RequestTime> finished = new ArrayList<>();
  private final Set<Long> unanswered = ConcurrentHashMap.newKeySet(); // when they were sent
  private long nextId;
  private volatile boolean stopped;

  /** The time to a request's whole answer, in ms; negative if it got none. */
  record RequestTime(double latencyMs) {
    boolean isAnswered() {
      return latencyMs >= 0;
    }
  }

  private final class Connection {
    final NetSocket socket;
    final int port;
    final RespDecoder decoder = new RespDecoder();
    long sentNanos;
    boolean waits;

    Connection(NetSocket socket, int port) {
      this.socket = socket;
      this.port = port;
      socket.handler(this::read);
      socket.closeHandler(v -> ended());
      socket.exceptionHandler(e -> socket.close());
    }

    void send(Buffer command, long startNanos) {
      waits = true;
      sentNanos = startNanos;
      socket.write(command);
      vertx.setTimer(ABANDON_AFTER_MS, t -> {
        if (waits && sentNanos == startNanos) socket.close();
      });
    }

    private void read(Buffer bytes) {
      decoder.feed(bytes);
      try {
        if (!waits || decoder.next() == null) return;
      } catch (FramingException e) {
        socket.close();
        return;
      }
      finish((System.nanoTime() - sentNanos) / 1e6);
      idleByPort.get(port).push(this);
    }

    private void ended() {
      idleByPort.get(port).remove(this);
      if (waits) finish(NO_ANSWER);
    }

    private void finish(double latencyMs) {
      waits = false;
      record(sentNanos, latencyMs);
    }
  }

  /**
   * Creates the clients; they send requests after {@link #start}.
   *
   * @param ports the nodes' ports, to which requests are dealt out evenly
   * @param ratePerSecond of the requests to all nodes together
   */
  UsualClients(List<Integer> ports, double ratePerSecond, long deadlineMs, long seed) {
    this.ports = ports;
    this.ratePerSecond = ratePerSecond;
    this.deadlineMs = deadlineMs;
    random = new SplittableRandom(seed);
    ports.forEach(port -> idleByPort.put(port, new ArrayDeque<>()));
  }

  void start() {
    vertx.runOnContext(v -> scheduleNext(System.nanoTime()));
  }

  private void scheduleNext(long dueNanos) {
    if (stopped) return;
    long nextNanos = dueNanos
        + (long) (-Math.log(1 - random.nextDouble()) / ratePerSecond * 1_000_000_000L);
    long delayMs = TimeUnit.NANOSECONDS.toMillis(nextNanos - System.nanoTime());
    vertx.setTimer(Math.max(1, delayMs), t -> {
      send();
      scheduleNext(nextNanos);
    });
  }

  private void send() {
    int port = ports.get(random.nextInt(ports.size()));
    long startNanos = System.nanoTime();
    Buffer command = Buffer.buffer(command());
    unanswered.add(startNanos);
    Connection idle = idleByPort.get(port).poll();
    if (idle != null) {
      idle.send(command, startNanos);
      return;
    }
    net.connect(port, "127.0.0.1").onComplete(connected -> {
      if (connected.succeeded()) new Connection(connected.result(), port).send(command, startNanos);
      else record(startNanos, NO_ANSWER);
    });
  }

  private String command() {
    boolean submit = random.nextDouble() < SUBMIT_SHARE;
    String customer = String.format("%016x", 1 + random.nextInt(CUSTOMERS));
    String id = String.format("e%015x", ++nextId);
    String terms = "c=" + (submit ? "write" : "read") + ",t=plan,d=" + deadlineMs;
    return submit ? CommandText.of("SVC.SUBMIT", customer, id, terms, "body")
        : CommandText.of("SVC.QUERY", customer, id, terms);
  }

  /** Returns the requests that ended since the last call. May be called from any thread. */
  List<RequestTime> takeFinished() {
    synchronized (finished) {
      List<RequestTime> taken = List.copyOf(finished);
      finished.clear();
      return taken;
    }
  }

  private void record(long startNanos, double latencyMs) {
    unanswered.remove(startNanos);
    synchronized (finished) {
      finished.add(new RequestTime(latencyMs));
    }
  }

  /** Waits until each request that was sent before this time has ended. */
  void awaitSentBefore(long nanos) throws InterruptedException {
    while (oldestUnanswered() - nanos < 0) Thread.sleep(20);
  }

  private long oldestUnanswered() {
    return unanswered.stream().mapToLong(Long::longValue).min().orElse(System.nanoTime());
  }

  @Override
  public void close() {
    stopped = true;
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
