package saltlatch.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.vertx.core.net.NetSocket;

/**
 * Closes connections in ways that Vert.x does not offer: its own close waits until all pending
 * writes are complete. Called on the connection's event loop; has no state. The result of a close
 * is ignored, because the connection's close handler is called in any case.
 */
public final class SocketCloser {
  private static final int LINGER_OFF = -1;

  private SocketCloser() {}

  /**
   * Closes without waiting for pending writes. Guards against a partner that does not read: its
   * connection would stay open, and a command that was cancelled, or reported as never sent, would
   * still reach an app server completely. Closing from this handler context bypasses the Vert.x
   * handler that waits.
   */
  public static void closeNow(NetSocket socket) {
    ChannelFuture unused = NettySockets.context(socket).close();
  }

  /**
   * Closes at once with a reset, which shows the other side that not all it has sent was processed.
   * What it has not received yet is lost.
   */
  public static void resetNow(NetSocket socket) {
    resetAtExit(socket);
    closeNow(socket);
  }

  /**
   * Has the operating system reset the connection if the process ends. Guards against a process
   * that is killed or out of time before it has answered what it has read: without a reset, the
   * other side would take the end for an orderly one.
   */
  public static void resetAtExit(NetSocket socket) {
    setLinger(socket, 0);
  }

  /** Has the operating system end the connection in order if the process ends, as by default. */
  public static void endAtExit(NetSocket socket) {
    setLinger(socket, LINGER_OFF);
  }

  private static void setLinger(NetSocket socket, int seconds) {
    Channel channel = NettySockets.channel(socket);
    if (!channel.isOpen()) return;
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, seconds);
    } catch (ChannelException e) {
      // The connection has broken: there is nothing left to reset.
      return;
    }
  }
}
