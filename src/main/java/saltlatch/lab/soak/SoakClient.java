package saltlatch.lab.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import saltlatch.lab.rig.CommandText;

/**
 * A client that sends one request after another on its connection for as long as the node keeps it
 * open, and then on a new connection to any node. A request whose connection is reset before any
 * answer is sent once more, since the node has not read it; any other end without a whole answer is
 * a loss ({@link RequestVerdict}). Runs on a thread of its own.
 */
final class SoakClient implements Runnable {
  private static final long MIN_DEADLINE_MS = 600;
  private static final long MAX_PAUSE_MS = 60;
  private static final long RECONNECT_MS = 5;
  /** A late answer only earns nothing for half a second; sockets may add 50 ms. */
  private static final long GRACE_MS = 550;

  private final String name;
  private final List<Integer> ports;
  private final Set<Integer> leavingPorts;
  private final SplittableRandom random;
  private final long maxDeadlineMs;
  private final Consumer<String> violations;
  private volatile boolean stopped;
  private final AtomicInteger answered = new AtomicInteger();
  private Socket connection;
  private int connectedPort;
  private int requests;
  private int receivedBytes; // of the current answer

  /**
   * Creates a client.
   *
   * @param leavingPorts those of nodes to which no new connection is opened
   * @param violations receives a line for each request without an answer in time
   */
  SoakClient(String name, List<Integer> ports, long maxDeadlineMs, SplittableRandom random,
      Set<Integer> leavingPorts, Consumer<String> violations) {
    this.name = name;
    this.ports = ports;
    this.maxDeadlineMs = maxDeadlineMs;
    this.random = random;
    this.leavingPorts = leavingPorts;
    this.violations = violations;
  }

  /** Sends no further request. */
  void stop() {
    stopped = true;
  }

  /** Returns how many requests have got an answer. */
  int answered() {
    return answered.get();
  }

  @Override
  public void run() {
    try {
      while (!stopped) {
        if (connection == null) connect();
        if (connection != null) sendRequest();
        Thread.sleep(random.nextLong(MAX_PAUSE_MS));
      }
      disconnect();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Connects to any node that takes connections; there is none after it if that one refuses. */
  private void connect() throws InterruptedException {
    List<Integer> open = ports.stream().filter(port -> !leavingPorts.contains(port)).toList();
    connectedPort = open.get(random.nextInt(open.size()));
    try {
      connection = new Socket(InetAddress.getLoopbackAddress(), connectedPort);
      connection.setTcpNoDelay(true);
    } catch (IOException e) {
      connection = null;
      Thread.sleep(RECONNECT_MS);
    }
  }

  private void disconnect() {
    try {
      if (connection != null) connection.close();
    } catch (IOException e) {
      // it has ended
    }
    connection = null;
  }

  private void sendRequest() throws InterruptedException {
    long deadlineMs = MIN_DEADLINE_MS + random.nextLong(maxDeadlineMs - MIN_DEADLINE_MS + 1);
    String id = String.format(Locale.ROOT, "%s-%d", name, ++requests);
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMs + GRACE_MS);
    int firstPort = connectedPort;
    Exchange first = exchange(command(id, deadlineMs), endNanos);
    if (first.verdict() == RequestVerdict.ANSWERED) return;
    if (first.verdict() == RequestVerdict.LOST) {
      report(id, deadlineMs, first.end(), firstPort);
      return;
    }
    while (connection == null && leftMs(endNanos) > GRACE_MS) connect();
    if (connection == null) return; // no node accepts: the request was never taken again
    long leftMs = Math.max(0, leftMs(endNanos) - GRACE_MS);
    int secondPort = connectedPort;
    Exchange second = exchange(command(id + "-2", leftMs), endNanos);
    if (second.verdict() != RequestVerdict.ANSWERED)
      report(id, deadlineMs, first.end() + ", then " + second.end(), secondPort);
  }

  private void report(String id, long deadlineMs, String end, int port) {
    violations.accept(id + " of " + deadlineMs + " ms: " + end + " at port " + port);
  }

  private static long leftMs(long endNanos) {
    return TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
  }

  private String command(String id, long deadlineMs) {
    String customer = String.format(Locale.ROOT, "%016x", 1 + random.nextInt(50));
    return CommandText.of("SVC.QUERY", customer, id, "c=read,t=plan,d=" + deadlineMs);
  }

  /** What became of a request, and how its connection ended if it got no whole answer. */
  private record Exchange(RequestVerdict verdict, String end) {}

  private Exchange exchange(String command, long endNanos) throws InterruptedException {
    boolean sent = false;
    receivedBytes = 0;
    try {
      connection.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
      sent = true;
      readReply(endNanos);
      answered.incrementAndGet();
      return new Exchange(RequestVerdict.ANSWERED, "");
    } catch (IOException e) {
      Exchange exchange = new Exchange(verdictAtEnd(sent, e), e.getMessage());
      disconnect();
      return exchange;
    }
  }

  /** Part of an answer shows that the request was read, whatever ends the connection behind it. */
  private RequestVerdict verdictAtEnd(boolean sent, IOException end) throws InterruptedException {
    if (!sent) return RequestVerdict.NOT_SENT;
    if (end instanceof SocketTimeoutException || receivedBytes > 0) return RequestVerdict.LOST;
    if (!(end instanceof EOFException)) return RequestVerdict.RESET;
    Thread.sleep(RequestVerdict.RESET_WAIT_MS);
    try {
      var ports = new LocalConnections.Connection(connection.getLocalPort(), connectedPort);
      return RequestVerdict.atEnd(false, !LocalConnections.inCloseWait().contains(ports));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Reads a line, and the value behind the line of a bulk string. */
  private void readReply(long endNanos) throws IOException {
    String line = readLine(endNanos);
    if (!line.startsWith("$") || line.equals("$-1")) return;
    int valueBytes = Integer.parseInt(line.substring(1));
    for (int i = 0; i < valueBytes + 2; i++) readByte(endNanos);
  }

  private String readLine(long endNanos) throws IOException {
    StringBuilder line = new StringBuilder();
    while (line.length() < 2 || !line.substring(line.length() - 2).equals("\r\n"))
      line.append((char) readByte(endNanos));
    return line.substring(0, line.length() - 2);
  }

  private int readByte(long endNanos) throws IOException {
    connection.setSoTimeout((int) Math.max(1, leftMs(endNanos)));
    int next = connection.getInputStream().read();
    if (next < 0) throw new EOFException("clean end");
    receivedBytes++;
    return next;
  }
}
