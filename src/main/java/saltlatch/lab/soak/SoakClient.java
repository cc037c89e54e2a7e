package saltlatch.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A client that sends one request after another on its connection for as long as the node keeps it
 * open, and then on a new connection to any node. A request whose connection ends is sent once
 * more, since the node may not have read it. Runs on a thread of its own.
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
    String end = exchange(command(id, deadlineMs), endNanos);
    if (end == null) return;
    while (connection == null && leftMs(endNanos) > GRACE_MS) connect();
    if (connection == null) return; // no node accepts: the request was never taken again
    long leftMs = Math.max(0, leftMs(endNanos) - GRACE_MS);
    String secondEnd = exchange(command(id + "-2", leftMs), endNanos);
    if (secondEnd != null) {
      violations.accept(id + " of " + deadlineMs + " ms: " + end + " at port " + firstPort
          + ", then " + secondEnd + " at port " + connectedPort);
    }
  }

  private static long leftMs(long endNanos) {
    return TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
  }

  private String command(String id, long deadlineMs) {
    String customer = String.format(Locale.ROOT, "%016x", 1 + random.nextInt(50));
    String terms = "c=read,t=plan,d=" + deadlineMs;
    StringBuilder text = new StringBuilder("*4\r\n");
    for (String word : List.of("SVC.QUERY", customer, id, terms))
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    return text.toString();
  }

  /** Returns null after an answer, otherwise how the exchange and its connection ended. */
  private String exchange(String command, long endNanos) {
    try {
      connection.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
      readReply(endNanos);
      answered.incrementAndGet();
      return null;
    } catch (IOException e) {
      disconnect();
      return e.getMessage();
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
    if (next < 0) throw new IOException("closed");
    return next;
  }
}
