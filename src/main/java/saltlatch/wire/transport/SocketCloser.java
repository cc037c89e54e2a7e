package saltlatch.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * Two ways to close a connection that Vert.x does not offer: its close waits until all that was
 * written has been taken.
 */
public final class SocketCloser {
  private SocketCloser() {}

  /** Ends this side alone. */
  public static void shutdownOutput(NetSocket socket) {
    Channel channel = context(socket).channel();
    if (channel instanceof DuplexChannel both && channel.isActive()) both.shutdownOutput();
    else closeNow(socket);
  }

  /**
   * Guards against another side that takes nothing: its connection would stay, and what waits to be
   * written would still come whole to an app srv whose dispatch was given up, or told as never
   * begun.
   */
  public static void closeNow(NetSocket socket) {
    // from here on: the channel's own would pass Vert.x' handler, which waits
    context(socket).close();
  }

  /**
   * Bytes that come from now on stay in the system. The library's own pause still takes in up to
   * eight buffers of them.
   */
  public static void stopReading(NetSocket socket) {
    socket.pause();
    context(socket).channel().config().setAutoRead(false);
  }

  private static ChannelHandlerContext context(NetSocket socket) {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }
}
