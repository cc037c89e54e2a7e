package saltlatch.wire.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import saltlatch.api.Ticks;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.SocketCloser;

/**
 * Ends this side of a client's connection behind the replies, and waits within bounds for the
 * client's end. Guards against closing over unread bytes: the operating system would reset the
 * connection, and the client would lose the replies just written. Runs on the event loop.
 */
final class LingeringClose {
  /** A client's end that crosses this side's has come by then. */
  private static final long LINGER_TICKS = Ticks.PER_SECOND / 5;
  /** A client that has not taken its replies by then takes none. */
  private static final long REPLIES_TIMEOUT_TICKS = 2 * Ticks.PER_SECOND;
  /** Two of the longest commands. */
  private static final int MAX_DISCARDED_BYTES = 128 * 1024;

  private final NetSocket socket;
  private final Scheduler scheduler;
  private final boolean discardsInput;
  private int discardedBytes;

  /**
   * Closes nothing yet.
   *
   * @param discardsInput whether what still comes is read and thrown away, as behind broken
   *                      framing, since a client in the middle of sending would not look up; else
   *                      it stays unread, which shows the client that it was not taken
   */
  LingeringClose(NetSocket socket, Scheduler scheduler, boolean discardsInput) {
    this.socket = socket;
    this.scheduler = scheduler;
    this.discardsInput = discardsInput;
  }

  /** Begins; {@code nodeStops}: this node can't wait until a slow client has taken its replies. */
  void begin(boolean nodeStops) {
    closeWithin(nodeStops ? LINGER_TICKS : REPLIES_TIMEOUT_TICKS);
    socket.handler(this::discard);
    handleInput();
    Buffer behindReplies = Buffer.buffer();
    socket.write(behindReplies).onComplete(v -> {
      handleInput(); // again: once what was pending is written, the library reads again
      SocketCloser.shutdownOutput(socket);
      closeWithin(LINGER_TICKS);
    });
  }

  private void discard(Buffer input) {
    discardedBytes += input.length();
    if (discardedBytes > MAX_DISCARDED_BYTES) SocketCloser.closeNow(socket);
  }

  private void handleInput() {
    if (discardsInput) socket.resume();
    else SocketCloser.stopReading(socket);
  }

  private void closeWithin(long ticks) {
    scheduler.scheduleAt(scheduler.now() + ticks, () -> SocketCloser.closeNow(socket));
  }
}
