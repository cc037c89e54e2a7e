package saltlatch.lab.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.HdrHistogram.Histogram;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.plan.Links;

/**
 * Runs TCP proxies on loopback that inject link faults. Each link with faults has a listener, and
 * one thread serves all listeners. {@link Links} decides which fault applies to which bytes. While
 * a link is cut, the proxy neither forwards nor closes anything, as if the other machine were
 * unreachable: it holds bytes and ends of streams until the link heals, and it prevents new
 * connections from being established. To prevent them, it opens connections to its own listener
 * (fillers) until the accept queue is full; the kernel then drops further connection requests.
 */
public final class LinkProxies implements AutoCloseable {
  private static final int BACKLOG = 32; // length of a listener's accept queue
  private static final int CHUNK_BYTES = 16_384; // largest size of one read
  // A direction that holds at least this many bytes stops reading. The held bytes model the buffers
  // of a cut link, which accept data until they are full.
  private static final int MAX_HELD_BYTES = 1 << 20;
  private static final long TICK_MS = 2; // interval of checks for due chunks and cut links
  private static final long MAX_DELAY_US = 60_000_000; // 60 s; a longer delay is recorded as this

  /**
   * Bytes of a stream or the end of a stream, held until it may be forwarded.
   *
   * @param bytes null for the end of a stream
   * @param dueMs earliest time of forwarding, in ms on the laboratory's clock
   * @param readNs time at which the chunk was read, by {@link System#nanoTime}
   * @param undelayed whether no fault delays the chunk
   * @param reset whether the stream ended with a reset
   */
  private record Chunk(ByteBuffer bytes, double dueMs, long readNs, boolean undelayed,
      boolean reset) {}

  /** The listener of one link. */
  private final class Listener {
    final String from;
    final String to;
    final SocketAddress target;
    final ServerSocketChannel channel;
    final int port;
    final Set<Integer> fillerPorts = new HashSet<>();
    List<SocketChannel> fillers; // null if the link is not cut

    Listener(String from, String to, SocketAddress target) throws IOException {
      this.from = from;
      this.to = to;
      this.target = target;
      channel = ServerSocketChannel.open();
      channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
      channel.configureBlocking(false);
      port = ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    boolean cut(double nowMs) {
      return links.cut(from, to, nowMs) || links.cut(to, from, nowMs);
    }

    /**
     * Fills the accept queue if the link was cut since the last call, and empties the queue if the
     * link has healed.
     */
    void updateFillers(double nowMs) throws IOException {
      boolean cut = cut(nowMs);
      if (cut && fillers == null) {
        fillers = new ArrayList<>();
        for (int i = 0; i < 2 * BACKLOG; i++) {
          SocketChannel filler = SocketChannel.open();
          filler.configureBlocking(false);
          // Bound before it connects, so that its port is already defined: accept() recognizes
          // fillers by their ports.
          filler.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
          filler.connect(channel.getLocalAddress());
          fillerPorts.add(((InetSocketAddress) filler.getLocalAddress()).getPort());
          fillers.add(filler);
        }
      } else if (!cut && fillers != null) {
        for (SocketChannel filler : fillers) filler.close();
        fillers = null;
        accept();
        fillerPorts.clear();
        channel.keyFor(selector).interestOps(SelectionKey.OP_ACCEPT);
      }
    }

    void accept() throws IOException {
      if (fillers != null) return;
      for (SocketChannel client = channel.accept(); client != null; client = channel.accept()) {
        if (fillerPorts.contains(((InetSocketAddress) client.getRemoteAddress()).getPort()))
          client.close();
        else new ProxiedConnection(this, client);
      }
    }
  }

  /** A client connection and the connection to its target, which form two directions. */
  private final class ProxiedConnection {
    final Direction toTarget;
    final Direction toClient;

    ProxiedConnection(Listener listener, SocketChannel client) throws IOException {
      client.configureBlocking(false);
      client.setOption(StandardSocketOptions.TCP_NODELAY, true);
      SocketChannel target = SocketChannel.open();
      target.configureBlocking(false);
      target.setOption(StandardSocketOptions.TCP_NODELAY, true);
      toTarget = new Direction(listener.from, listener.to, client, target);
      toClient = new Direction(listener.to, listener.from, target, client);
      toTarget.other = toClient;
      toClient.other = toTarget;
      toTarget.connection = toClient.connection = this;
      connections.add(this);
      try {
        target.connect(listener.target);
      } catch (IOException e) {
        reset();
        return;
      }
      client.register(selector, 0, toTarget);
      target.register(selector, SelectionKey.OP_CONNECT, toClient);
    }

    void reset() {
      for (SocketChannel channel : List.of(toTarget.source, toClient.source)) {
        try {
          channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
          // the channel is already closed: there is nothing to reset
        }
        closeChannel(channel);
      }
      connections.remove(this);
    }
  }

  /** One direction of a connection: reads from the source, forwards to the destination. */
  private final class Direction {
    final String from;
    final String to;
    final SocketChannel source;
    final SocketChannel destination;
    final ArrayDeque<Chunk> held = new ArrayDeque<>();
    Direction other;
    ProxiedConnection connection;
    int heldBytes;
    double lastDueMs = Double.NEGATIVE_INFINITY;
    boolean endRead; // the end of the source stream or a read error was found
    boolean endForwarded;

    Direction(String from, String to, SocketChannel source, SocketChannel destination) {
      this.from = from;
      this.to = to;
      this.source = source;
      this.destination = destination;
    }

    void read() {
      double nowMs = clock.nowMs();
      long readNs = System.nanoTime();
      try {
        while (!endRead && heldBytes < MAX_HELD_BYTES) {
          ByteBuffer buffer = ByteBuffer.allocate(CHUNK_BYTES);
          int bytesRead = source.read(buffer);
          if (bytesRead == 0) break;
          buffer.flip();
          lastDueMs = Math.max(lastDueMs, nowMs + links.stream(from, to, nowMs));
          if (bytesRead < 0) endRead = true;
          else heldBytes += bytesRead;
          held.add(new Chunk(bytesRead < 0 ? null : buffer, lastDueMs, readNs,
              lastDueMs <= nowMs && !links.cut(from, to, nowMs), false));
        }
      } catch (IOException e) {
        endRead = true;
        held.add(new Chunk(null, Math.max(lastDueMs, nowMs), readNs, false, true));
      }
      write();
    }

    /** Forwards the chunks that are due, unless the link is cut. */
    void write() {
      double nowMs = clock.nowMs();
      try {
        while (!held.isEmpty() && destination.isConnected() && held.peek().dueMs <= nowMs
            && !links.cut(from, to, nowMs)) {
          Chunk chunk = held.peek();
          if (chunk.reset) {
            connection.reset();
            return;
          }
          if (chunk.bytes == null) {
            destination.shutdownOutput();
            endForwarded = true;
          } else {
            int bytesWritten = destination.write(chunk.bytes);
            heldBytes -= bytesWritten;
            if (chunk.bytes.hasRemaining()) break;
            if (chunk.undelayed) delayUs
                .recordValue(Math.min(MAX_DELAY_US, (System.nanoTime() - chunk.readNs) / 1000));
          }
          held.poll();
        }
      } catch (IOException e) {
        connection.reset();
        return;
      }
      if (endForwarded && other.endForwarded) {
        closeChannel(source);
        closeChannel(destination);
        connections.remove(connection);
        return;
      }
      updateInterest();
    }

    private void updateInterest() {
      SelectionKey sourceKey = source.keyFor(selector);
      if (sourceKey == null || !sourceKey.isValid() || !source.isConnected()) return;
      boolean blocked = !other.held.isEmpty() && other.held.peek().bytes != null
          && other.held.peek().bytes.position() > 0;
      sourceKey.interestOps((endRead || heldBytes >= MAX_HELD_BYTES ? 0 : SelectionKey.OP_READ)
          | (blocked ? SelectionKey.OP_WRITE : 0));
    }
  }

  private final Links links;
  private final LabClock clock;
  private final Selector selector;
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final List<Listener> listeners = new ArrayList<>();
  private final Set<ProxiedConnection> connections = new java.util.LinkedHashSet<>();
  private final Histogram delayUs = new Histogram(MAX_DELAY_US, 3);
  private final Thread thread;
  private volatile boolean closed;
  private volatile Exception failure; // ended the proxy thread; makes the results invalid

  /** Starts the proxy thread without listeners; {@link #port} creates them. */
  public LinkProxies(Links links, LabClock clock) throws IOException {
    this.links = links;
    this.clock = clock;
    selector = Selector.open();
    thread = new Thread(this::run, "lab-relays");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Returns the loopback port to which {@code from} must connect to reach {@code to}: the given
   * port if no fault of the scenario affects the link, and otherwise the port of a new listener.
   *
   * @param port the port on which {@code to} listens
   */
  public int port(String from, String to, int port) {
    if (!links.everTouches(from, to)) return port;
    Listener listener;
    try {
      listener = new Listener(from, to,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    tasks.add(() -> {
      listeners.add(listener);
      try {
        listener.channel.register(selector, SelectionKey.OP_ACCEPT, listener);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    });
    selector.wakeup();
    return listener.port;
  }

  /**
   * Returns the 50th and 99th percentile and the maximum of the delay that the proxies themselves
   * add, in µs, and the number of measured chunks. The delay is the time from reading a chunk to
   * forwarding its last byte; only chunks that no fault delays are measured.
   */
  public Map<String, Long> delayUs() {
    Map<String, Long> delays = new TreeMap<>();
    delays.put("p50", delayUs.getValueAtPercentile(50));
    delays.put("p99", delayUs.getValueAtPercentile(99));
    delays.put("max", delayUs.getMaxValue());
    delays.put("chunks", delayUs.getTotalCount());
    return delays;
  }

  private void run() {
    long nextTickNs = 0;
    while (!closed) {
      try {
        selector.select(TICK_MS);
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) task.run();
        for (SelectionKey key : selector.selectedKeys()) if (key.isValid()) handle(key);
        selector.selectedKeys().clear();
        if (System.nanoTime() < nextTickNs) continue;
        nextTickNs = System.nanoTime() + TICK_MS * 1_000_000;
        double nowMs = clock.nowMs();
        for (Listener listener : listeners) listener.updateFillers(nowMs);
        for (ProxiedConnection connection : List.copyOf(connections)) {
          if (!connection.toTarget.held.isEmpty()) connection.toTarget.write();
          if (!connection.toClient.held.isEmpty()) connection.toClient.write();
        }
      } catch (IOException | RuntimeException e) {
        if (closed) return;
        failure = e;
        return;
      }
    }
  }

  private void handle(SelectionKey key) throws IOException {
    if (key.attachment() instanceof Listener listener) {
      listener.accept();
      // While the accept queue is kept full, each select would return at once with this listener.
      if (listener.fillers != null) key.interestOps(0);
      return;
    }
    Direction direction = (Direction) key.attachment();
    ProxiedConnection connection = direction.connection;
    if (!connections.contains(connection)) return;
    if (key.isConnectable()) {
      try {
        direction.source.finishConnect();
      } catch (IOException e) {
        connection.reset(); // the target does not listen
        return;
      }
      direction.updateInterest();
      direction.other.updateInterest();
      return;
    }
    if (key.isReadable()) direction.read();
    if (key.isValid() && key.isWritable()) direction.other.write();
  }

  private static void closeChannel(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    selector.wakeup();
    try {
      thread.join(2_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (ProxiedConnection connection : List.copyOf(connections)) connection.reset();
    for (Listener listener : listeners) listener.channel.close();
    selector.close();
    if (failure != null) {
      throw new IOException("the thread of the link proxies failed during the run", failure);
    }
  }
}
