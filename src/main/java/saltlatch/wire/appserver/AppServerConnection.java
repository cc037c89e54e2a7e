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
 * One connection to an app server, with at most one call in flight. Runs on the event loop. Each
 * call ends with exactly one call to {@link AppServerClient#callEnded}.
 */
final class AppServerConnection {
  private static final AppServerReply MALFORMED = AppServerReply
      .withoutValue(CallResult.MALFORMED_REPLY);

  /**
   * An attempt or a health check.
   *
   * @param request      the request of the attempt; null for a health check
   * @param attempt      the attempt's number within the request
   * @param command      encodes the command, given the milliseconds left when it is written
   * @param timeoutTicks the time within which the reply must be complete
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
  private final RespDecoder decoder;
  private NetSocket socket; // null until the connection is established
  private boolean closed;
  private Call call; // the call in flight; null if idle, so that the request can be freed
  private LongFunction<Buffer> unsentCommand; // null after it was passed to the socket
  private boolean commandWritten; // including its last byte
  private long sentTicks;
  private long deadlineTicks;
  private TimerQueue.Timer timeout;
  private TimerQueue.Timer restOfReplyTimeout; // null until the first bytes of a reply arrive

  AppServerConnection(AppServerClient owner, int server) {
    this.owner = owner;
    this.server = server;
    decoder = new RespDecoder(owner.incompleteReplies());
  }

  /** Returns the number of the server that it is connected to. */
  int server() {
    return server;
  }

  /** Connects; a call can be sent at once, and is written when the connection is established. */
  void open(NetClient client, SocketAddress address) {
    client.connect(address).onComplete(connected -> {
      if (connected.failed()) end(AppServerReply.withoutValue(CallResult.CONNECT_FAILED));
      else handleConnected(connected.result());
    });
  }

  private void handleConnected(NetSocket newSocket) {
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
   * Sends the first call if it is still allowed. Guards against sending an attempt that is no
   * longer allowed because its client has disconnected, its app server is draining, or the time in
   * which it may be retried has passed: the request would be executed without a client, or twice.
   * Asking the policy also passes it the events that arrived while connecting, which may end this
   * attempt.
   */
  private void sendFirstCall() {
    boolean allowed = closed || call == null || call.isHealthCheck()
        || owner.mayStartAttempt(call.request(), call.attempt());
    if (closed) return;
    if (allowed) write();
    else end(AppServerReply.withoutValue(CallResult.WITHDRAWN));
  }

  /** Sends a call, at once or when connected. No other call may be in flight. */
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
   * Writes the command with the time that is left, which is less than the timeout if connecting
   * took long. Guards against an app server that continues to work after this node has stopped
   * waiting.
   */
  private void write() {
    if (unsentCommand == null) return;
    long leftTicks = Math.max(0, deadlineTicks - owner.scheduler().now());
    Buffer command = unsentCommand.apply(leftTicks / Ticks.PER_MILLISECOND);
    unsentCommand = null;
    socket.write(command).onSuccess(v -> commandWritten = true);
  }

  /**
   * Reads reply bytes; closes the connection if no call is in flight. Guards against a partial line
   * or a second reply on an idle connection, which would be treated as the reply to the next call.
   */
  private void read(Buffer received) {
    if (closed) return;
    if (call == null) {
      close();
      return;
    }
    decoder.feed(received);
    try {
      RespValue reply = decoder.next();
      if (reply == null) startRestOfReplyTimeout();
      else handleReply(reply);
    } catch (FramingException e) {
      end(MALFORMED);
    }
  }

  /**
   * Limits the time for the rest of the reply. Guards against a reply with a wrong length, whose
   * end never arrives: its request would stay in flight until the client's timeout.
   */
  private void startRestOfReplyTimeout() {
    if (restOfReplyTimeout != null) return;
    long dueTicks = owner.scheduler().now() + owner.restOfReplyTimeoutTicks();
    restOfReplyTimeout = owner.scheduler().scheduleAt(dueTicks, () -> end(MALFORMED));
  }

  /**
   * Ends the call with its reply; closes the connection if more bytes follow the reply. Guards
   * against treating those unexpected bytes as the reply to the next call.
   */
  private void handleReply(RespValue value) {
    AppServerReply reply = call.isHealthCheck() ? AppServerReply.ofHealthCheck(value)
        : AppServerReply.ofAttempt(value);
    if (decoder.isEmpty() && reply.result() != CallResult.MALFORMED_REPLY) finish(true, reply);
    else end(reply);
  }

  /** Closes the connection and ends the call in flight, if any. */
  void end(AppServerReply reply) {
    if (closed) return;
    close();
    if (call != null) finish(false, reply);
  }

  /** Closes the connection; other classes may call this only while the connection is idle. */
  void close() {
    if (closed) return;
    closed = true;
    decoder.close();
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
