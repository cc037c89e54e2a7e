package saltlatch.wire.counter;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.SocketCloser;

/**
 * A connection to the counter and its queue of calls, which the counter answers in the order in
 * which they were written. Calls are not written until the connection is established and, if it
 * replaces another connection, until every call on that one has a result.
 *
 * <p>Owned by the node's event loop.
 */
final class CounterConnection {
  private static final int MAX_ANSWER_BYTES = 256;
  // A connection is closed if its oldest call has had no answer for longer than both of these.
  private static final long STUCK_TIMEOUT_FACTOR = 10; // times the minimum time limit of a call
  private static final long STUCK_CALL_TIMEOUT_FACTOR = 4; // times the oldest call's time limit

  private final CounterClient owner;
  private final int slot;
  private final ArrayDeque<CounterCall> calls = new ArrayDeque<>();
  private final byte[] answerLine = new byte[MAX_ANSWER_BYTES];
  private int answerLineBytes;
  private NetSocket socket; // null until connected
  private long lastCallAtTicks;
  private boolean closed;
  private boolean retired; // takes no new calls; closes once each of its calls has a result
  private CounterConnection predecessor; // its calls must end before any is written here; or null
  private CounterConnection successor; // replaces this one; null: none

  /** Starts connecting to the owner's address. */
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
   * Returns whether the oldest call has been without an answer for far longer than a slow answer
   * takes. Guards against a connection on which nothing arrives any more because the counter or the
   * network has stopped responding: every further call on it would time out as well.
   */
  boolean isStuck() {
    CounterCall oldest = calls.peek();
    if (oldest == null) return false;
    return owner.nowTicks() - oldest.sentAtTicks > Math.max(
        STUCK_TIMEOUT_FACTOR * owner.timeoutTicks(),
        STUCK_CALL_TIMEOUT_FACTOR * oldest.timeoutTicks);
  }

  /** Stops taking calls; the next connection writes its calls once each call here has a result. */
  void retire(CounterConnection next) {
    retired = true;
    successor = next;
  }

  /** Closes the connection if every call has a result, and returns whether it did so. */
  boolean closeUnlessOpenCalls() {
    if (hasOpenCalls()) return false;
    retired = true;
    close();
    return true;
  }

  void call(long name, long timeoutTicks, String line) {
    CounterCall call = new CounterCall(name, owner.nowTicks(), timeoutTicks, line);
    call.timeout = owner.scheduleAt(call.sentAtTicks + timeoutTicks, () -> timedOut(call));
    calls.add(call);
    lastCallAtTicks = call.sentAtTicks;
    if (isWritable()) write(call);
  }

  private void timedOut(CounterCall call) {
    end(call, call.written ? CallResult.TIMED_OUT : CallResult.TIMED_OUT_UNWRITTEN, 0);
    // Guards against an answer that was cut off: the rest of its line never arrives, so no later
    // call would be answered. A partial line at the end of a call's time limit is taken for one.
    if (answerLineBytes > 0) close();
  }

  private void write(CounterCall call) {
    if (call.ended) return; // timed out before it was written: the counter never receives it
    socket.write(call.takeLine());
  }

  private void read(Buffer received) {
    for (int i = 0; i < received.length() && !closed; i++) {
      byte next = received.getByte(i);
      if (next == '\n') {
        handleAnswer(
            new String(answerLine, 0, answerLineBytes, StandardCharsets.ISO_8859_1).trim());
        answerLineBytes = 0;
      } else if (answerLineBytes < answerLine.length) {
        answerLine[answerLineBytes++] = next;
      } else {
        close();
      }
    }
  }

  private void handleAnswer(String text) {
    // Calls that timed out before they were written get no answer.
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
    owner.callEnded(call, result, total);
    if (retired && !hasOpenCalls()) close();
  }

  /** Ends every call that has no result yet, and lets the next connection write its calls. */
  void close() {
    if (closed) return;
    closed = true;
    owner.connectionClosed(this, slot);
    if (socket != null) SocketCloser.closeNow(socket);
    for (CounterCall call : calls)
      end(call, call.written ? CallResult.CONNECTION_LOST : CallResult.CONNECT_FAILED, 0);
    if (successor == null) return;
    successor.predecessor = null;
    successor.writeWaiting();
  }
}
