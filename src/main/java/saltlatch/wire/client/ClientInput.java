package saltlatch.wire.client;

import io.vertx.core.net.NetSocket;
import saltlatch.api.Ticks;
import saltlatch.state.TimerQueue;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.SocketInput;

/**
 * Stops and resumes reading from one client's connection, and knows whether bytes may wait in the
 * operating system because reading was stopped. While that is so the input isn't caught up, and the
 * connection must not be closed as an unused one. Owned by the connection; used on the event loop.
 */
final class ClientInput {
  /** The size of a read; one with fewer bytes has left none unread. */
  static final int READ_BYTES = 16 * 1024;
  /**
   * A timer set while sockets are being read may run before the next look at the sockets; one that
   * it sets runs after that look.
   */
  private static final int TIMERS_UNTIL_READ = 2;
  private static final long TIMER_TICKS = Ticks.PER_MILLISECOND;

  private final NetSocket socket;
  private final Scheduler scheduler;
  private final Runnable onCaughtUp;
  private boolean stopped;
  private TimerQueue.Timer catchUp; // null unless reading was resumed and is not caught up yet

  /**
   * Creates the input of a connection that is being read.
   *
   * @param onCaughtUp called after a resumption, when all bytes that waited were read
   */
  ClientInput(NetSocket socket, Scheduler scheduler, Runnable onCaughtUp) {
    this.socket = socket;
    this.scheduler = scheduler;
    this.onCaughtUp = onCaughtUp;
    SocketInput.fixReadSize(socket, READ_BYTES);
  }

  /** Stops reading; what arrives from now on stays in the operating system. */
  void stop() {
    if (stopped) return;
    stopped = true;
    if (catchUp != null) catchUp.cancel();
    catchUp = null;
    SocketInput.stop(socket);
  }

  /** Resumes reading, if it was stopped. */
  void resume() {
    if (!stopped) return;
    stopped = false;
    SocketInput.resume(socket);
    awaitRead(TIMERS_UNTIL_READ);
  }

  private void awaitRead(int timersLeft) {
    catchUp = scheduler.scheduleAt(scheduler.now() + TIMER_TICKS, () -> {
      if (timersLeft > 1) {
        awaitRead(timersLeft - 1);
      } else {
        catchUp = null;
        onCaughtUp.run();
      }
    });
  }

  boolean isStopped() {
    return stopped;
  }

  /** Returns whether everything that arrived while reading was stopped has been read. */
  boolean isCaughtUp() {
    return !stopped && catchUp == null;
  }
}
