package saltlatch.wire.counter;

import io.vertx.core.buffer.Buffer;
import saltlatch.state.TimerQueue;

/**
 * One call. It keeps its place in the order of answers after it has timed out, since the counter
 * still answers it.
 */
final class CounterCall {
  final long name;
  final long sentAtTicks;
  final long timeoutTicks;
  TimerQueue.Timer timeout;
  boolean written; // from here on the counter may add its units
  boolean ended; // its result has been reported
  private Buffer line;

  CounterCall(long name, long sentAtTicks, long timeoutTicks, String line) {
    this.name = name;
    this.sentAtTicks = sentAtTicks;
    this.timeoutTicks = timeoutTicks;
    this.line = Buffer.buffer(line);
  }

  /** Its line, to be written now; not kept any longer. */
  Buffer takeLine() {
    written = true;
    Buffer taken = line;
    line = null;
    return taken;
  }
}
