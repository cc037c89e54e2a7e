package saltlatch.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * Ways to close a connection that Vert.x does not offer: its close waits until all that was written
 * has been taken. Called on the connection's event loop; has no state. How a close itself ends is
 * not looked at: the connection's end is notified in any case.
 */
public final class SocketCloser {
  private SocketCloser() {}

  /** Ends this side's sending alone: what the other side still sends can be read. */
  public static void shutdownOutput(NetSocket socket) {
    Channel channel = context(socket).channel();
    if (channel instanceof DuplexChannel duplex && channel.isActive()) {
      ChannelFuture unused = duplex.shutdownOutput();
    } else {
      closeNow(socket);
    }
  }

  /**
   * Closes without waiting for what is still to be written. Guards against another side that reads
   * nothing: its connection would stay open, and a command that was given up, or reported as never
   * sent, would still reach an app server whole. Closing from this place of the pipeline skips
   * Vert.x's own handler, the one that waits.
   */
  public static void closeNow(NetSocket socket) {
    ChannelFuture unused = context(socket).close();
  }

  /**
   * Leaves bytes that come from now on in the operating system. The library's own pause still takes
   * in up to eight buffers of them.
   */
  public static void stopReading(NetSocket socket) {
    socket.pause();
    context(socket).channel().config().setAutoRead(false);
  }

  private static ChannelHandlerContext context(NetSocket socket) {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }
}
