package saltlatch.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/** The Netty objects behind a Vert.x socket, for what Vert.x does not offer. Has no state. */
final class NettySockets {
  private NettySockets() {}

  static Channel channel(NetSocket socket) {
    return context(socket).channel();
  }

  /** Returns the context of the Vert.x handler, which is the last one of the pipeline. */
  static ChannelHandlerContext context(NetSocket socket) {
    return ((NetSocketInternal) socket).channelHandlerContext();
  }
}
