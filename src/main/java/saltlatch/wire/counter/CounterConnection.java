package saltlatch.wire.counter;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.SocketCloser;

/**
 * One connection to the counter and the calls on it, which are answered in the order in which they
 * were written. Calls wait while it is connecting, and while an earlier connection still has calls
 * of the same names without a result.
 *
 * <p>Owned by the node's event loop.
 */
final class CounterConnection {
  private static final int MAX_ANSWER_BYTES = 256;
  // time limits without any answer after which a connection is given up
  private static final long STUCK_TIMEOUTS = 10;
  // or so many times the time limit of its oldest call, where that is longer
  private static final long STUCK_CALL_TIMEOUTS = 4;

  private final CounterClient owner;
  private final int slot;
  private final ArrayDeque<CounterCall> calls = new ArrayDeque<>();
  private final byte[] line = new byte[MAX_ANSWER_BYTES];
  private int lineBytes;
  private NetSocket socket; // null: not connected yet
  private long lastCallAtTicks;
  private boolean closed;
  private boolean retired; // it takes no new calls and closes once each of its calls has a result
  private CounterConnection predecessor; // whose calls come first; null: this one's may be written
  private CounterConnection successor;

  /** Begins to connect to the owner's address. */
  CounterConnection(CounterClient owner, int slot, CounterConnection predecessor) {
    this.owner = owner;
    this.slot = slot;
    this.predecessor = predecessor;
    lastCallAtTicks = owner.nowTicks();
    owner.connect().onComplete(done -> {
      if (done.failed()) close();
      else connected(done.result());
    });
  }

  private void connected(NetSocket connected) {
    owner.count(Metric.COUNTER_CONNECTIONS_OPENED);
    socket = connected;
    if (closed) {
      SocketCloser.closeNow(socket);
      return;
    }
    socket.handler(this::read);
    socket.exceptionHandler(e -> owner.count(Metric.COUNTER_CONNECTIONS_BROKEN));
    socket.closeHandler(v -> close());
    writeWaiting();
  }

  private boolean isWritable() {
    return socket != null && predecessor == null;
  }

  private void writeWaiting() {
    if (isWritable() && !closed) calls.forEach(this::write);
  }

  private boolean hasOpenCalls() {
    return calls.stream().anyMatch(call -> !call.ended);
  }

  boolean isIdleFor(long ticks) {
    return calls.isEmpty() && owner.nowTicks() - lastCallAtTicks > ticks;
  }

  /**
   * Guards against a connection on which nothing comes any more, as when the counter or the network
   * has gone silent: every further call on it would time out as well. Its oldest call is long
   * overdue then, far beyond what a slow answer takes.
   */
  boolean isStuck() {
    CounterCall oldest = calls.peek();
    if (oldest == null) return false;
    return owner.nowTicks() - oldest.sentAtTicks > Math.max(STUCK_TIMEOUTS * owner.timeoutTicks(),
        STUCK_CALL_TIMEOUTS * oldest.timeoutTicks);
  }

  /** Takes no new calls; the one behind it writes once each call of this one has a result. */
  void retire(CounterConnection next) {
    retired = true;
    successor = next;
  }

  /** Whether it still has calls without a result; if not, it is closed. */
  boolean closeUnlessOpenCalls() {
    if (hasOpenCalls()) return false;
    retired = true;
    close();
    return true;
  }

  void call(long name, long timeoutTicks, String text) {
    CounterCall call = new CounterCall(name, owner.nowTicks(), timeoutTicks, text);
    call.timeout = owner.scheduleAt(call.sentAtTicks + timeoutTicks, () -> timedOut(call));
    calls.add(call);
    lastCallAtTicks = call.sentAtTicks;
    if (isWritable()) write(call);
  }

  private void timedOut(CounterCall call) {
    end(call, call.written ? CallResult.TIMED_OUT : CallResult.TIMED_OUT_UNWRITTEN, 0);
    // Guards against an answer that was cut off: the rest of its line never comes, and nothing
    // behind it would be answered. Half a line that stands for a whole time limit is such a one.
    if (lineBytes > 0) close();
  }

  private void write(CounterCall call) {
    if (call.ended) return; // timed out before it could be written: the counter never sees it
    socket.write(call.takeLine());
  }

  private void read(Buffer received) {
    for (int i = 0; i < received.length() && !closed; i++) {
      byte next = received.getByte(i);
      if (next == '\n') {
        answered(new String(line, 0, lineBytes, StandardCharsets.ISO_8859_1).trim());
        lineBytes = 0;
      } else if (lineBytes < line.length) {
        line[lineBytes++] = next;
      } else {
        close();
      }
    }
  }

  private void answered(String text) {
    // those that timed out before they could be written get no answer
    while (!calls.isEmpty() && !calls.peek().written) calls.poll();
    CounterCall call = calls.poll();
    if (call == null) {
      close();
      return;
    }
    CounterCodec.Answer answer = CounterCodec.decode(text);
    end(call, answer.result(), answer.total());
    if (answer.result() == CallResult.MALFORMED_REPLY) close();
  }

  private void end(CounterCall call, CallResult result, double total) {
    if (call.ended) return;
    call.ended = true;
    call.timeout.cancel();
    owner.ended(call, result, total);
    if (retired && !hasOpenCalls()) close();
  }

  /** Ends every call that has no result yet, and lets the connection behind it begin. */
  void close() {
    if (closed) return;
    closed = true;
    owner.closed(this, slot);
    if (socket != null) SocketCloser.closeNow(socket);
    for (CounterCall call : calls)
      end(call, call.written ? CallResult.CONNECTION_LOST : CallResult.CONNECT_FAILED, 0);
    if (successor == null) return;
    successor.predecessor = null;
    successor.writeWaiting();
  }
}
