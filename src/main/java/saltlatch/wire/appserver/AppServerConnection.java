package saltlatch.wire.appserver;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.function.LongFunction;
import saltlatch.api.Ticks;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.state.TimerQueue;
import saltlatch.wire.FramingException;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.SocketCloser;

/**
 * One connection to an app server, with at most one call in flight on it. Runs on the event loop;
 * every call ends exactly once, with {@link AppServerClient#callEnded}.
 */
final class AppServerConnection {
  private static final AppServerReply MALFORMED = AppServerReply
      .withoutValue(CallResult.MALFORMED_REPLY);

  /**
   * An attempt or a health check.
   *
   * @param request      whose attempt it is; null: a health check
   * @param attempt      the attempt's number within the request
   * @param command      its text, given the ms that are left to wait once it is written
   * @param timeoutTicks how long its reply is waited for
   */
  record Call(RequestContext request, int attempt, LongFunction<Buffer> command,
      long timeoutTicks) {
    static Call healthCheck(LongFunction<Buffer> command, long timeoutTicks) {
      return new Call(null, 0, command, timeoutTicks);
    }

    boolean isHealthCheck() {
      return request == null;
    }
  }

  private final AppServerClient owner;
  private final int server;
  private final RespDecoder decoder = new RespDecoder();
  private NetSocket socket; // null: not up
  private boolean closed;
  private Call call; // the one in flight; null: idle, so that no request is kept in memory
  private LongFunction<Buffer> unsentCommand; // null: it was handed to the socket
  private boolean commandWritten; // its last byte
  private long sentTicks;
  private long deadlineTicks;
  private TimerQueue.Timer timeout;
  private TimerQueue.Timer restOfReplyTimeout; // null: no reply has begun to come

  AppServerConnection(AppServerClient owner, int server) {
    this.owner = owner;
    this.server = server;
  }

  /** The number of the server to which it leads. */
  int server() {
    return server;
  }

  /** Connects; a call may be given to it at once, and is written when it is up. */
  void open(NetClient client, SocketAddress address) {
    client.connect(address).onComplete(connected -> {
      if (connected.failed()) end(AppServerReply.withoutValue(CallResult.CONNECT_FAILED));
      else connected(connected.result());
    });
  }

  private void connected(NetSocket newSocket) {
    socket = newSocket;
    if (closed) {
      SocketCloser.closeNow(socket);
      return;
    }
    socket.handler(this::read);
    socket.exceptionHandler(e -> owner.metrics().add(Metric.SERVER_CONNECTIONS_BROKEN));
    socket.closeHandler(v -> end(AppServerReply.withoutValue(
        commandWritten ? CallResult.CONNECTION_LOST : CallResult.CONNECTION_LOST_UNWRITTEN)));
    owner.scheduler().afterCurrentIteration(this::sendFirstCall);
  }

  /**
   * Guards against an attempt that is sent when what allowed it is past: its client has gone away,
   * its app server is draining, the time in which it may be sent again is over. It would show as a
   * request executed for nobody, or twice. Asking the policy hands it all that came while the
   * connection came up, which may also end this attempt.
   */
  private void sendFirstCall() {
    boolean allowed = closed || call == null || call.isHealthCheck()
        || owner.mayStartAttempt(call.request(), call.attempt());
    if (closed) return;
    if (allowed) write();
    else end(AppServerReply.withoutValue(CallResult.WITHDRAWN));
  }

  /** Sends a call, at once or when the connection is up. No other may be in flight. */
  void send(Call newCall) {
    call = newCall;
    commandWritten = false;
    unsentCommand = newCall.command();
    sentTicks = owner.scheduler().now();
    deadlineTicks = sentTicks + newCall.timeoutTicks();
    timeout = owner.scheduler().scheduleAt(deadlineTicks, () -> end(AppServerReply
        .withoutValue(commandWritten ? CallResult.TIMED_OUT : CallResult.TIMED_OUT_UNWRITTEN)));
    if (socket != null) write();
  }

  boolean carries(RequestContext request, int attempt) {
    return call != null && call.request() == request && call.attempt() == attempt;
  }

  /**
   * Guards against an app server that works on for nobody: where the connection came up late, the
   * command gives the time that is left, not the whole of it.
   */
  private void write() {
    if (unsentCommand == null) return;
    long leftTicks = Math.max(0, deadlineTicks - owner.scheduler().now());
    Buffer command = unsentCommand.apply(leftTicks / Ticks.PER_MILLISECOND);
    unsentCommand = null;
    socket.write(command).onSuccess(v -> commandWritten = true);
  }

  /**
   * Guards against half a line, or a second reply, on an idle connection: the next call's reply
   * would come behind it and be taken for another's. The connection closes instead.
   */
  private void read(Buffer more) {
    if (closed) return;
    if (call == null) {
      close();
      return;
    }
    decoder.feed(more);
    try {
      RespValue reply = decoder.next();
      if (reply == null) limitRestOfReply();
      else replied(reply);
    } catch (FramingException e) {
      end(MALFORMED);
    }
  }

  /**
   * Guards against a reply that gives a wrong length, so that its end never comes: its request
   * would stay in flight until the client's timeout.
   */
  private void limitRestOfReply() {
    if (restOfReplyTimeout != null) return;
    long dueTicks = owner.scheduler().now() + owner.restOfReplyTimeoutTicks();
    restOfReplyTimeout = owner.scheduler().scheduleAt(dueTicks, () -> end(MALFORMED));
  }

  /**
   * Guards against bytes behind the reply, which nobody asked for and which would be taken for the
   * next call's reply: the connection is not used again.
   */
  private void replied(RespValue value) {
    AppServerReply reply = call.isHealthCheck() ? AppServerReply.ofHealthCheck(value)
        : AppServerReply.ofAttempt(value);
    if (decoder.isEmpty() && reply.result() != CallResult.MALFORMED_REPLY) finish(true, reply);
    else end(reply);
  }

  /** Closes the connection and ends the call that is in flight on it. */
  void end(AppServerReply reply) {
    if (closed) return;
    close();
    if (call != null) finish(false, reply);
  }

  /** Closes the connection; called from outside only while it is idle. */
  void close() {
    if (closed) return;
    closed = true;
    if (socket != null) SocketCloser.closeNow(socket);
    owner.connectionClosed(this);
  }

  private void finish(boolean reusable, AppServerReply reply) {
    Call ended = call;
    call = null;
    timeout.cancel();
    if (restOfReplyTimeout != null) restOfReplyTimeout.cancel();
    restOfReplyTimeout = null;
    owner.callEnded(this, reusable, ended, reply, owner.scheduler().now() - sentTicks);
  }
}
