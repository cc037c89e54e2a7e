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
 * TCP relays on loopback that carry the link faults, one listener a link, all on one thread of its
 * own. A cut link is silent, as a machine cut off is: bytes and ends stay where they are until it
 * heals, and new connections never come up, since the listener's queue is filled with connections
 * of the relay's own and the system then drops what asks for more. What each byte meets is
 * {@link Links}'s decision.
 */
public final class LinkProxies implements AutoCloseable {
  // connections not taken yet; one more each fills a cut listener
  private static final int BACKLOG = 32;
  private static final int CHUNK = 16_384; // bytes read at once
  // bytes held on one direction before reading stops: a cut link's buffers
  private static final int MOST_HELD = 1 << 20;
  private static final long TICK_MS = 2; // between looks at what is held, and whether links are cut
  private static final long HIGHEST_US = 60_000_000; // the histogram's range

  /** Bytes on their way, or the end of them. */
  private record Chunk(ByteBuffer bytes, double dueMs, long readNs, boolean free, boolean reset) {}

  private final class Listener {
    final String from;
    final String to;
    final SocketAddress target;
    final ServerSocketChannel channel;
    final int port;
    final Set<Integer> plugPorts = new HashSet<>();
    List<SocketChannel> plugs;

    Listener(String from, String to, SocketAddress target) throws IOException {
      this.from = from;
      this.to = to;
      this.target = target;
      channel = ServerSocketChannel.open();
      channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
      channel.configureBlocking(false);
      port = ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    boolean cut(double now) {
      return links.cut(from, to, now) || links.cut(to, from, now);
    }

    /**
     * Fills the queue of what is not accepted yet while the link is cut; empties it once it has
     * healed.
     */
    void look(double now) throws IOException {
      boolean cut = cut(now);
      if (cut && plugs == null) {
        plugs = new ArrayList<>();
        for (int i = 0; i < 2 * BACKLOG; i++) {
          SocketChannel c = SocketChannel.open();
          c.configureBlocking(false);
          // its port is known while it still connects
          c.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
          c.connect(channel.getLocalAddress());
          plugPorts.add(((InetSocketAddress) c.getLocalAddress()).getPort());
          plugs.add(c);
        }
      } else if (!cut && plugs != null) {
        for (SocketChannel c : plugs) c.close();
        plugs = null;
        accept();
        plugPorts.clear();
        channel.keyFor(selector).interestOps(SelectionKey.OP_ACCEPT);
      }
    }

    void accept() throws IOException {
      if (plugs != null) return;
      for (SocketChannel a = channel.accept(); a != null; a = channel.accept()) {
        if (plugPorts.contains(((InetSocketAddress) a.getRemoteAddress()).getPort())) a.close();
        else new Pipe(this, a);
      }
    }
  }

  /** One connection through a relay: two directions. */
  private final class Pipe {
    final Half there;
    final Half back;

    Pipe(Listener l, SocketChannel a) throws IOException {
      a.configureBlocking(false);
      a.setOption(StandardSocketOptions.TCP_NODELAY, true);
      SocketChannel b = SocketChannel.open();
      b.configureBlocking(false);
      b.setOption(StandardSocketOptions.TCP_NODELAY, true);
      there = new Half(l.from, l.to, a, b);
      back = new Half(l.to, l.from, b, a);
      there.other = back;
      back.other = there;
      there.pipe = back.pipe = this;
      pipes.add(this);
      try {
        b.connect(l.target);
      } catch (IOException e) {
        reset();
        return;
      }
      a.register(selector, 0, there);
      b.register(selector, SelectionKey.OP_CONNECT, back);
    }

    void reset() {
      for (SocketChannel c : List.of(there.src, back.src)) {
        try {
          c.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
          // closed already: nothing is left to reset
        }
        shut(c);
      }
      pipes.remove(this);
    }
  }

  private final class Half {
    final String from;
    final String to;
    final SocketChannel src;
    final SocketChannel dst;
    final ArrayDeque<Chunk> held = new ArrayDeque<>();
    Half other;
    Pipe pipe;
    int bytes;
    double lastDue = Double.NEGATIVE_INFINITY;
    boolean ended; // the end of src has been read
    boolean done; // and passed on

    Half(String from, String to, SocketChannel src, SocketChannel dst) {
      this.from = from;
      this.to = to;
      this.src = src;
      this.dst = dst;
    }

    void read() {
      double now = clock.nowMs();
      long readNs = System.nanoTime();
      try {
        while (!ended && bytes < MOST_HELD) {
          ByteBuffer b = ByteBuffer.allocate(CHUNK);
          int n = src.read(b);
          if (n == 0) break;
          b.flip();
          lastDue = Math.max(lastDue, now + links.stream(from, to, now));
          if (n < 0) ended = true;
          else bytes += n;
          held.add(new Chunk(n < 0 ? null : b, lastDue, readNs,
              lastDue <= now && !links.cut(from, to, now), false));
        }
      } catch (IOException e) {
        ended = true;
        held.add(new Chunk(null, Math.max(lastDue, now), readNs, false, true));
      }
      write();
    }

    /** Passes on what is due, unless the link is cut. */
    void write() {
      double now = clock.nowMs();
      try {
        while (!held.isEmpty() && dst.isConnected() && held.peek().dueMs <= now
            && !links.cut(from, to, now)) {
          Chunk c = held.peek();
          if (c.reset) {
            pipe.reset();
            return;
          }
          if (c.bytes == null) {
            dst.shutdownOutput();
            done = true;
          } else {
            int n = dst.write(c.bytes);
            bytes -= n;
            if (c.bytes.hasRemaining()) break;
            if (c.free)
              delay.recordValue(Math.min(HIGHEST_US, (System.nanoTime() - c.readNs) / 1000));
          }
          held.poll();
        }
      } catch (IOException e) {
        pipe.reset();
        return;
      }
      if (done && other.done) {
        shut(src);
        shut(dst);
        pipes.remove(pipe);
        return;
      }
      interest();
    }

    private void interest() {
      SelectionKey in = src.keyFor(selector);
      if (in == null || !in.isValid() || !src.isConnected()) return;
      boolean blocked = !other.held.isEmpty() && other.held.peek().bytes != null
          && other.held.peek().bytes.position() > 0;
      in.interestOps((ended || bytes >= MOST_HELD ? 0 : SelectionKey.OP_READ)
          | (blocked ? SelectionKey.OP_WRITE : 0));
    }
  }

  private final Links links;
  private final LabClock clock;
  private final Selector selector;
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final List<Listener> listeners = new ArrayList<>();
  private final Set<Pipe> pipes = new java.util.LinkedHashSet<>();
  private final Histogram delay = new Histogram(HIGHEST_US, 3);
  private final Thread thread;
  private volatile boolean closed;
  private volatile Exception failure; // the relays have stopped: the run is worth nothing

  public LinkProxies(Links links, LabClock clock) throws IOException {
    this.links = links;
    this.clock = clock;
    selector = Selector.open();
    thread = new Thread(this::run, "lab-relays");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * The port by which {@code from} reaches {@code to}, whose own port is given: the same where no
   * fault touches the link.
   */
  public int port(String from, String to, int port) {
    if (!links.everTouches(from, to)) return port;
    Listener l;
    try {
      l = new Listener(from, to, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    tasks.add(() -> {
      listeners.add(l);
      try {
        l.channel.register(selector, SelectionKey.OP_ACCEPT, l);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    });
    selector.wakeup();
    return l.port;
  }

  /** From reading bytes that no fault delays to having passed them on, in µs. */
  public Map<String, Long> delayUs() {
    Map<String, Long> m = new TreeMap<>();
    m.put("p50", delay.getValueAtPercentile(50));
    m.put("p99", delay.getValueAtPercentile(99));
    m.put("max", delay.getMaxValue());
    m.put("chunks", delay.getTotalCount());
    return m;
  }

  private void run() {
    long next = 0;
    while (!closed) {
      try {
        selector.select(TICK_MS);
        for (Runnable t = tasks.poll(); t != null; t = tasks.poll()) t.run();
        for (SelectionKey key : selector.selectedKeys()) if (key.isValid()) ready(key);
        selector.selectedKeys().clear();
        if (System.nanoTime() < next) continue;
        next = System.nanoTime() + TICK_MS * 1_000_000;
        double now = clock.nowMs();
        for (Listener l : listeners) l.look(now);
        for (Pipe p : List.copyOf(pipes)) {
          if (!p.there.held.isEmpty()) p.there.write();
          if (!p.back.held.isEmpty()) p.back.write();
        }
      } catch (IOException | RuntimeException e) {
        if (closed) return;
        failure = e;
        return;
      }
    }
  }

  private void ready(SelectionKey key) throws IOException {
    if (key.attachment() instanceof Listener l) {
      l.accept();
      if (l.plugs != null) key.interestOps(0); // the queue stays full: it must not spin
      return;
    }
    Half h = (Half) key.attachment();
    Pipe p = h.pipe;
    if (!pipes.contains(p)) return;
    if (key.isConnectable()) {
      try {
        h.src.finishConnect();
      } catch (IOException e) {
        p.reset(); // nobody listens there
        return;
      }
      h.interest();
      h.other.interest();
      return;
    }
    if (key.isReadable()) h.read();
    if (key.isValid() && key.isWritable()) h.other.write();
  }

  private static void shut(SocketChannel c) {
    try {
      c.close();
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
    for (Pipe p : List.copyOf(pipes)) p.reset();
    for (Listener l : listeners) l.channel.close();
    selector.close();
    if (failure != null) throw new IOException("the relays stopped", failure);
  }
}
