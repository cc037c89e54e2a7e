package saltlatch.wire;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.function.LongFunction;
import saltlatch.state.Counters.Count;
import saltlatch.state.Exchange;
import saltlatch.state.Timers;

/** One connection to an app srv, with at most one dispatch (or probe) out on it. */
final class AppLink {
  private static final int TICKS_PER_MS = 10; // of the scheduler
  private static final Answer SPOILT = Answer.none(Ending.SPOILT_ANSWER);

  final int srv;
  private final AppServers owner;
  private final RespReader in = new RespReader();
  private NetSocket socket;
  private boolean closed;
  private boolean out;
  private boolean written;
  private LongFunction<Buffer> unsent; // the command by the ms that are left to wait; null: written
  private Exchange x; // null: a probe
  private int dispatch;
  private long sent;
  private long cap;
  private Timers.Timer limit;
  private Timers.Timer rest; // of an answer that has begun to come

  AppLink(AppServers owner, int srv) {
    this.owner = owner;
    this.srv = srv;
  }

  void open(NetClient client, SocketAddress address) {
    client.connect(address).onComplete(done -> {
      if (done.failed()) {
        end(Answer.none(Ending.CONNECT_FAILED));
        return;
      }
      socket = done.result();
      if (closed) {
        Closing.atOnce(socket);
        return;
      }
      socket.handler(this::read);
      socket.exceptionHandler(e -> owner.counters().add(Count.CONNECTIONS_BROKEN));
      socket.closeHandler(v -> end(Answer.none(written ? Ending.BROKE_WRITTEN : Ending.BROKE_UNWRITTEN)));
      owner.scheduler().afterTurn(this::begin);
    });
  }

  /**
   * Guards against a dispatch that begins when what allowed it is past: its client gone, its app srv told to drain, its repeat
   * window over. The asking tells the module all that came meanwhile, which may end this dispatch as well.
   */
  private void begin() {
    boolean allowed = closed || x == null || owner.mayBegin(x, dispatch);
    if (closed) return;
    if (allowed) write();
    else end(Answer.none(Ending.WITHDRAWN));
  }

  /** {@code command}: its text by the ms that are left of {@code cap} once it is written, which may be later. */
  void send(LongFunction<Buffer> command, Exchange x, int dispatch, long cap) {
    this.x = x;
    this.dispatch = dispatch;
    this.cap = cap;
    out = true;
    written = false;
    unsent = command;
    sent = owner.scheduler().now();
    limit = owner.scheduler().at(sent + cap,
        () -> end(Answer.none(written ? Ending.TIMED_OUT : Ending.TIMED_OUT_UNWRITTEN)));
    if (socket != null) write();
  }

  boolean carries(Exchange x, int dispatch) {
    return out && this.x == x && this.dispatch == dispatch;
  }

  private void write() {
    if (unsent == null) return;
    // Guards against a connection that came up late: an app srv told the whole time would work for nobody at its end.
    Buffer command = unsent.apply(Math.max(0, sent + cap - owner.scheduler().now()) / TICKS_PER_MS);
    unsent = null;
    socket.write(command).onSuccess(v -> written = true);
  }

  private void read(Buffer more) {
    if (closed) return;
    // Guards against half a line or a second answer on a resting connection, which the next dispatch's answer would follow.
    if (!out) {
      close();
      return;
    }
    in.feed(more);
    try {
      Resp resp = in.next();
      if (resp == null) {
        // Guards against an answer whose length is wrong, which would hold its req until the client timeout.
        if (rest == null)
          rest = owner.scheduler().at(owner.scheduler().now() + owner.restTime(), () -> end(SPOILT));
        return;
      }
      // Guards against an answer that is taken for that of the next dispatch: what comes behind one was not asked for.
      Answer answer = x == null ? Answer.ofProbe(resp) : Answer.of(resp);
      if (in.isEmpty() && answer.ending() != Ending.SPOILT_ANSWER) finish(true, answer);
      else end(answer);
    } catch (RespReader.Lost e) {
      end(SPOILT);
    }
  }

  /** Ends the connection and what is out on it. */
  void end(Answer answer) {
    if (closed) return;
    close();
    if (out) finish(false, answer);
  }

  void close() {
    if (closed) return;
    closed = true;
    if (socket != null) Closing.atOnce(socket);
    owner.gone(this);
  }

  private void finish(boolean open, Answer answer) {
    Exchange was = x;
    out = false;
    x = null;
    limit.drop();
    if (rest != null) rest.drop();
    rest = null;
    owner.ended(this, open, was, dispatch, answer, owner.scheduler().now() - sent);
  }
}
