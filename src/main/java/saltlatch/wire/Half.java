package saltlatch.wire;

import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/** The end of this side of a connection alone, which Vert.x does not offer. */
final class Half {
  private Half() {}

  static void end(NetSocket socket) {
    if (((NetSocketInternal) socket).channelHandlerContext().channel() instanceof DuplexChannel channel
        && channel.isActive()) {
      channel.shutdownOutput();
    } else {
      socket.close();
    }
  }
}
