package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/**
 * Clients of 80 resellers that send requests at random times, each through one of its nodes. A
 * client keeps its connections and opens more when all of them are busy. A request whose connection
 * ends without an answer is sent once more on a new connection, as the pages have it.
 */
final class Clients {
  /** Receives each answer. */
  interface Listener {
    /** {@code answer} is null if none came within the request's time and half a second. */
    void answered(String id, NodeProcess node, String answer);
  }

  private static final int CUSTOMERS = 80;
  private static final long FIRST_CUSTOMER = 0x1b4d65000L;
  private static final double QUOTE_SHARE = 0.62;
  private static final int GRACE_MS = 550;

  private record Connection(Socket socket, InputStream in) {}

  private final Recorder record;
  private final Listener listener;
  private final ExecutorService threads = Executors.newCachedThreadPool(action -> {
    Thread thread = new Thread(null, action, "client", 256 * 1024);
    thread.setDaemon(true);
    return thread;
  });
  private final List<NodeProcess> nodes;
  private final List<ConcurrentLinkedDeque<Connection>> idle;
  private final List<Semaphore> free;
  private final AtomicInteger notSent = new AtomicInteger();
  private final Random random;
  private long lastId;

  /** All clients together hold at most {@code maxConnections} connections to each node. */
  Clients(Recorder record, List<NodeProcess> nodes, long seed, int maxConnections,
      Listener listener) {
    this.record = record;
    this.nodes = nodes;
    this.listener = listener;
    random = new Random(seed);
    free = nodes.stream().map(node -> new Semaphore(maxConnections)).toList();
    idle = nodes.stream().map(node -> new ConcurrentLinkedDeque<Connection>()).toList();
  }

  /** Sends requests at this rate until the time has come. */
  void sendUntil(double untilMs, double requestsPerSecond) throws InterruptedException {
    double nextMs = record.nowMs();
    while (nextMs < untilMs) {
      AppServer.sleepMs(nextMs - record.nowMs());
      sendOne();
      nextMs += -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
    }
  }

  private void sendOne() {
    int node = random.nextInt(nodes.size());
    boolean quote = random.nextDouble() < QUOTE_SHARE;
    String customer = String.format(Locale.ROOT, "%016x",
        FIRST_CUSTOMER + random.nextInt(CUSTOMERS));
    String plan = Long.parseLong(customer, 16) % 3 == 0 ? "volume" : "basic";
    String id = String.format(Locale.ROOT, "%016x", 0x5a00000000000000L + ++lastId);
    int timeoutMs = quote ? 4000 : 8000;
    String terms = "c=" + (quote ? "quote" : "place-order") + ",t=" + plan + ",d=%d,units=1,spread="
        + nodes.size() + ",first=0";
    IntFunction<byte[]> command = leftMs -> quote
        ? Resp.command("SVC.QUERY", customer, id, String.format(Locale.ROOT, terms, leftMs))
        : Resp.command("SVC.SUBMIT", customer, id, String.format(Locale.ROOT, terms, leftMs),
            "order of " + id);
    if (!free.get(node).tryAcquire()) {
      notSent.incrementAndGet();
      return;
    }
    threads.execute(() -> {
      exchange(node, id, timeoutMs, command);
      free.get(node).release();
    });
  }

  private void exchange(int node, String id, int timeoutMs, IntFunction<byte[]> command) {
    double endsAtMs = record.nowMs() + timeoutMs;
    String answer = null;
    try {
      answer = exchangeOnce(node, id, idle.get(node).pollFirst(), endsAtMs, command);
    } catch (SocketTimeoutException e) {
      record.line("client of %s got no answer in its time", id);
    } catch (IOException e) {
      record.line("client of %s lost its connection, %s, and sends once more", id, e.getMessage());
      answer = sendOnceMore(node, id, endsAtMs, command);
    }
    record.line("client of %s hears %s", id, answer);
    listener.answered(id, nodes.get(node), answer);
  }

  private String sendOnceMore(int node, String id, double endsAtMs, IntFunction<byte[]> command) {
    try {
      return exchangeOnce(node, id, null, endsAtMs, command);
    } catch (IOException e) {
      record.line("client of %s got no answer again: %s", id, e.getMessage());
      return null;
    }
  }

  private String exchangeOnce(int node, String id, Connection resting, double endsAtMs,
      IntFunction<byte[]> command) throws IOException {
    Connection connection = resting;
    if (connection == null) {
      Socket socket = new Socket("127.0.0.1", nodes.get(node).port);
      socket.setTcpNoDelay(true);
      connection = new Connection(socket, new BufferedInputStream(socket.getInputStream()));
    }
    int leftMs = (int) Math.max(1, endsAtMs - record.nowMs());
    connection.socket().setSoTimeout(leftMs + GRACE_MS);
    connection.socket().getOutputStream().write(command.apply(leftMs));
    record.line("client sends %s to n%d", id, node);
    boolean kept = false;
    try {
      String answer = Resp.readAnswer(connection.in());
      if (answer == null) throw new IOException("ended by the node");
      kept = true;
      idle.get(node).addFirst(connection);
      return answer;
    } finally {
      if (!kept) connection.socket().close();
    }
  }

  /** Returns how many requests were not sent, since all connections to their node were busy. */
  int notSent() {
    return notSent.get();
  }

  /** Waits until all answers have come, for as long as this at most. */
  void awaitAnswers(long ms) throws InterruptedException {
    threads.shutdown();
    threads.awaitTermination(ms, TimeUnit.MILLISECONDS);
  }
}
