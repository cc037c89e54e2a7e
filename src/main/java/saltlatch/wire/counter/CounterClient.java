package saltlatch.wire.counter;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.TimerQueue;
import saltlatch.wire.resp.DecimalFormat;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.SocketCloser;
import saltlatch.wire.transport.TcpConnector;

/**
 * The client side towards the counter. A name's calls go over one connection, so that they are
 * answered in order.
 */
public final class CounterClient {
  /** Whom the ends of calls are told to. */
  public interface Listener {
    void counted(long name, CallResult ending, double total, long spent);
  }

  // of the 32 that the counter holds: names on its busy parts hold up few others
  private static final int LINKS = 8;
  // 4 s: the counter closes idle connections after 10 s or less
  private static final long IDLE = 40_000;
  private static final long SWEEP = 10_000; // 1 s between looks for idle ones
  private static final int LONGEST_LINE = 256; // bytes of an answer
  // time limits without any answer after which a connection is given up
  private static final long STUCK = 10;
  // or so many times its oldest call was to be waited for, where that is longer
  private static final long STUCK_CAPS = 4;

  /** One call; its place in the order of answers stays after it has timed out. */
  private static final class Call {
    private long name;
    private long sent;
    private long cap;
    private boolean written;
    private boolean told;
    private TimerQueue.Timer limit;
    private Buffer text;
  }

  private final NetClient client;
  private SocketAddress address;
  private final Scheduler scheduler;
  private final Listener host;
  private final NodeMetrics counters;
  private final long limit;
  private final Link[] links = new Link[LINKS];

  public CounterClient(Vertx vertx, SocketAddress address, Scheduler scheduler, Listener host,
      NodeMetrics counters, long limit) {
    this.address = address;
    this.scheduler = scheduler;
    this.host = host;
    this.counters = counters;
    this.limit = limit;
    client = TcpConnector.client(vertx, Math.max(100, limit)); // ten limits
    sweep();
  }

  /** {@code cap}: waited for so long, or for the time in the settings if that is longer. */
  public void add(long name, double units, long keep, long cap) {
    counters.add(Metric.COUNTER_CALLS);
    int at = (int) Math.floorMod(name ^ name >>> 31, (long) LINKS);
    Link link = links[at];
    if (link != null && link.isStuck()) link.end();
    if (links[at] == null) links[at] = new Link(at, null);
    links[at].call(name, Math.max(limit, cap), "bump " + Long.toHexString(name) + " "
        + DecimalFormat.format(units) + " " + Math.max(1, keep / 10) + "\r\n");
  }

  /**
   * Calls go to another address from now on. Guards against a name's answers that overtake each
   * other: what is out on an old connection is told before the first call of that name goes out on
   * the new one.
   */
  public void move(SocketAddress to) {
    if (address.equals(to)) return;
    address = to;
    for (int at = 0; at < LINKS; at++) {
      Link old = links[at];
      if (old == null) continue;
      old.retired = true;
      if (old.owes()) old.after = links[at] = new Link(at, old);
      else old.end();
    }
  }

  private void sweep() {
    for (Link link : links) {
      if (link != null
          && (link.calls.isEmpty() && scheduler.now() - link.usedAt > IDLE || link.isStuck()))
        link.end();
    }
    scheduler.at(scheduler.now() + SWEEP, this::sweep);
  }

  private final class Link {
    private final int at;
    private final ArrayDeque<Call> calls = new ArrayDeque<>();
    private NetSocket socket;
    private long usedAt;
    private boolean closed;
    private boolean retired; // it takes no new calls and ends once it owes none
    private Link before; // its names' calls are out there; null: this one's may go out
    private Link after;
    private final byte[] line = new byte[LONGEST_LINE];
    private int length;

    Link(int at, Link before) {
      this.at = at;
      this.before = before;
      usedAt = scheduler.now();
      client.connect(address).onComplete(done -> {
        if (done.failed()) {
          end();
          return;
        }
        counters.add(Metric.COUNTER_CONNECTIONS_OPENED);
        socket = done.result();
        if (closed) {
          SocketCloser.closeNow(socket);
          return;
        }
        socket.handler(this::read);
        socket.exceptionHandler(e -> counters.add(Metric.COUNTER_CONNECTIONS_BROKEN));
        socket.closeHandler(v -> end());
        start();
      });
    }

    private boolean isOpen() {
      return socket != null && before == null;
    }

    private void start() {
      if (isOpen() && !closed) calls.forEach(this::write);
    }

    boolean owes() {
      return calls.stream().anyMatch(c -> !c.told);
    }

    /** Its oldest call is long overdue: the counter has gone silent, or this connection has. */
    boolean isStuck() {
      if (calls.isEmpty()) return false;
      return scheduler.now() - calls.peek().sent > Math.max(STUCK * limit,
          STUCK_CAPS * calls.peek().cap);
    }

    void call(long name, long cap, String text) {
      Call c = new Call();
      c.name = name;
      c.sent = scheduler.now();
      c.cap = cap;
      c.text = Buffer.buffer(text);
      c.limit = scheduler.at(c.sent + cap, () -> {
        tell(c, c.written ? CallResult.TIMED_OUT : CallResult.TIMED_OUT_UNWRITTEN, 0);
        // half a line for so long is none: nothing behind it would be answered
        if (length > 0) end();
      });
      calls.add(c);
      usedAt = c.sent;
      if (isOpen()) write(c);
    }

    private void write(Call c) {
      if (c.told) return; // timed out before the connection came up: never sent
      c.written = true; // from here on it may be added
      socket.write(c.text);
      c.text = null;
    }

    private void read(Buffer more) {
      for (int i = 0; i < more.length() && !closed; i++) {
        byte b = more.getByte(i);
        if (b == '\n') {
          answer(new String(line, 0, length, StandardCharsets.ISO_8859_1).trim());
          length = 0;
        } else if (length < line.length) {
          line[length++] = b;
        } else {
          end();
        }
      }
    }

    private void answer(String text) {
      while (!calls.isEmpty() && !calls.peek().written) calls.poll(); // never sent: no answer comes
      Call c = calls.poll();
      if (c == null) {
        end();
      } else {
        double total = text.startsWith("ok ") ? DecimalFormat.parse(text.substring(3)) : Double.NaN;
        CallResult ending = Double.isNaN(total) ? withoutTotal(text) : CallResult.ANSWERED;
        tell(c, ending, ending == CallResult.ANSWERED ? total : 0);
        if (ending == CallResult.MALFORMED_REPLY) end();
      }
    }

    /**
     * Guards against a spoilt answer that is taken for a refusal, so that its amount, which was
     * added, is added again.
     */
    private static CallResult withoutTotal(String text) {
      return switch (text) {
        case "busy" -> CallResult.BUSY_REPLY;
        case "error" -> CallResult.CALL_REFUSED;
        default -> CallResult.MALFORMED_REPLY;
      };
    }

    private void tell(Call c, CallResult ending, double total) {
      if (c.told) return;
      c.told = true;
      c.limit.cancel();
      counters.add(ending == CallResult.ANSWERED ? Metric.COUNTER_CALLS_ANSWERED
          : Metric.COUNTER_CALLS_FAILED);
      host.counted(c.name, ending, total, scheduler.now() - c.sent);
      if (retired && !owes()) end();
    }

    void end() {
      if (closed) return;
      closed = true;
      if (links[at] == this) links[at] = null;
      if (socket != null) SocketCloser.closeNow(socket);
      for (Call c : calls)
        tell(c, c.written ? CallResult.CONNECTION_LOST : CallResult.CONNECT_FAILED, 0);
      if (after == null) return;
      after.before = null;
      after.start();
    }
  }
}
