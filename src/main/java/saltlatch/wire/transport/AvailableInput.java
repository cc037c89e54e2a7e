package saltlatch.wire.transport;

import io.vertx.core.buffer.Buffer;

/**
 * What a connection's input held when it was read directly, between two reads of the event loop.
 *
 * @param bytes   the bytes that had arrived; empty if none had
 * @param isEnded whether the other side has ended the connection behind them
 */
public record AvailableInput(Buffer bytes, boolean isEnded) {
  static final AvailableInput NOTHING = new AvailableInput(Buffer.buffer(), false);
  static final AvailableInput ENDED = new AvailableInput(Buffer.buffer(), true);

  /** Returns whether no byte had arrived. */
  public boolean isEmpty() {
    return bytes.length() == 0;
  }
}
