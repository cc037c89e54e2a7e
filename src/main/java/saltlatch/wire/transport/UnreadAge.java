package saltlatch.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * How long the newest bytes of a connection have lain in the system before they were read, by the
 * system's own record (TCP_INFO). Asked only after this node was away: a stopped process reads what
 * came meanwhile as if it had just come.
 */
public final class UnreadAge {
  private UnreadAge() {}

  /** Tenths of a ms; 0 where the system does not tell. */
  public static long ofSocketTicks(NetSocket socket) {
    try {
      Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
      return channel instanceof EpollSocketChannel epoll ? epoll.tcpInfo().lastDataRecv() * 10L : 0;
      // closed meanwhile, or a system without TCP_INFO: the age stays unknown
    } catch (RuntimeException e) {
      return 0;
    }
  }
}
