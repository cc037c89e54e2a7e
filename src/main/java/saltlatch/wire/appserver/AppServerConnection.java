package saltlatch.wire.appserver;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.function.LongFunction;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.state.TimerQueue;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.SocketCloser;

/** One connection to an app srv, with at most one dispatch (or probe) out on it. */
final class AppServerConnection {
  private static final int TICKS_PER_MS = 10; // of the scheduler
  private static final AppServerReply SPOILT = AppServerReply
      .withoutValue(CallResult.SPOILT_ANSWER);

  final int srv;
  private final AppServerClient owner;
  private final RespDecoder in = new RespDecoder();
  private NetSocket socket;
  private boolean closed;
  private boolean out;
  private boolean written;
  private LongFunction<Buffer> unsent; // the command by the ms that are left to wait; null: written
  private RequestContext x; // null: a probe
  private int dispatch;
  private long sent;
  private long cap;
  private TimerQueue.Timer limit;
  private TimerQueue.Timer rest; // of an answer that has begun to come

  AppServerConnection(AppServerClient owner, int srv) {
    this.owner = owner;
    this.srv = srv;
  }

  void open(NetClient client, SocketAddress address) {
    client.connect(address).onComplete(done -> {
      if (done.failed()) {
        end(AppServerReply.withoutValue(CallResult.CONNECT_FAILED));
        return;
      }
      socket = done.result();
      if (closed) {
        SocketCloser.closeNow(socket);
        return;
      }
      socket.handler(this::read);
      socket.exceptionHandler(e -> owner.counters().add(Metric.SERVER_CONNECTIONS_BROKEN));
      socket.closeHandler(v -> end(AppServerReply
          .withoutValue(written ? CallResult.BROKE_WRITTEN : CallResult.BROKE_UNWRITTEN)));
      owner.scheduler().afterTurn(this::begin);
    });
  }

  /**
   * Guards against a dispatch that begins when what allowed it is past: its client gone, its app
   * srv told to drain, its repeat window over. The asking tells the module all that came meanwhile,
   * which may end this dispatch as well.
   */
  private void begin() {
    boolean allowed = closed || x == null || owner.mayBegin(x, dispatch);
    if (closed) return;
    if (allowed) write();
    else end(AppServerReply.withoutValue(CallResult.WITHDRAWN));
  }

  /**
   * {@code command}: its text by the ms that are left of {@code cap} once it is written, which may
   * be later.
   */
  void send(LongFunction<Buffer> command, RequestContext x, int dispatch, long cap) {
    this.x = x;
    this.dispatch = dispatch;
    this.cap = cap;
    out = true;
    written = false;
    unsent = command;
    sent = owner.scheduler().now();
    limit = owner.scheduler().at(sent + cap, () -> end(AppServerReply
        .withoutValue(written ? CallResult.TIMED_OUT : CallResult.TIMED_OUT_UNWRITTEN)));
    if (socket != null) write();
  }

  boolean carries(RequestContext x, int dispatch) {
    return out && this.x == x && this.dispatch == dispatch;
  }

  private void write() {
    if (unsent == null) return;
    // Guards against a connection that came up late: an app srv told the whole time would work for
    // nobody at its end.
    Buffer command = unsent.apply(Math.max(0, sent + cap - owner.scheduler().now()) / TICKS_PER_MS);
    unsent = null;
    socket.write(command).onSuccess(v -> written = true);
  }

  private void read(Buffer more) {
    if (closed) return;
    // Guards against half a line or a second answer on a resting connection, which the next
    // dispatch's answer would follow.
    if (!out) {
      close();
      return;
    }
    in.feed(more);
    try {
      RespValue resp = in.next();
      if (resp == null) {
        // Guards against an answer whose length is wrong, which would hold its req until the client
        // timeout.
        if (rest == null) rest = owner.scheduler().at(owner.scheduler().now() + owner.restTime(),
            () -> end(SPOILT));
        return;
      }
      // Guards against an answer that is taken for that of the next dispatch: what comes behind one
      // was not asked for.
      AppServerReply answer = x == null ? AppServerReply.ofHealthCheck(resp)
          : AppServerReply.of(resp);
      if (in.isEmpty() && answer.result() != CallResult.SPOILT_ANSWER) finish(true, answer);
      else end(answer);
    } catch (RespDecoder.RespFramingException e) {
      end(SPOILT);
    }
  }

  /** Ends the connection and what is out on it. */
  void end(AppServerReply answer) {
    if (closed) return;
    close();
    if (out) finish(false, answer);
  }

  void close() {
    if (closed) return;
    closed = true;
    if (socket != null) SocketCloser.closeNow(socket);
    owner.gone(this);
  }

  private void finish(boolean open, AppServerReply answer) {
    RequestContext was = x;
    out = false;
    x = null;
    limit.cancel();
    if (rest != null) rest.cancel();
    rest = null;
    owner.ended(this, open, was, dispatch, answer, owner.scheduler().now() - sent);
  }
}
