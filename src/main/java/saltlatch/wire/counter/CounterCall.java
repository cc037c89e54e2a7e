package saltlatch.wire.counter;

import io.vertx.core.buffer.Buffer;
import saltlatch.state.TimerQueue;

/**
 * A call to the counter. It stays in its connection's queue after it has timed out, because the
 * counter still answers it and answers are matched to calls by their order.
 */
final class CounterCall {
  final long name;
  final long sentAtTicks;
  final long timeoutTicks;
  TimerQueue.Timer timeout;
  boolean written; // once true, the counter may have added the units
  boolean ended; // the result has been reported to the listener
  private Buffer line; // null once taken

  CounterCall(long name, long sentAtTicks, long timeoutTicks, String line) {
    this.name = name;
    this.sentAtTicks = sentAtTicks;
    this.timeoutTicks = timeoutTicks;
    this.line = Buffer.buffer(line);
  }

  /** Marks the call as written and returns its line, which the call then releases. */
  Buffer takeLine() {
    written = true;
    Buffer taken = line;
    line = null;
    return taken;
  }
}
