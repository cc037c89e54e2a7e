package saltlatch.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import saltlatch.api.Ticks;

/**
 * How long the newest bytes of a connection lay in the operating system before they were read, by
 * its own record (TCP_INFO). Guards against a request whose client has given up: a process that was
 * stopped reads what came meanwhile as if it had just come. Has no state; called on the
 * connection's event loop, and only after this node has been stalled.
 */
public final class TcpReceiveAge {
  private static final long UNKNOWN = 0;

  private TcpReceiveAge() {}

  /** In ticks; 0 where the system has no record, or the connection has closed meanwhile. */
  public static long ticksSinceLastReceive(NetSocket socket) {
    try {
      Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
      return channel instanceof EpollSocketChannel epoll
          ? epoll.tcpInfo().lastDataRecv() * Ticks.PER_MILLISECOND : UNKNOWN;
    } catch (RuntimeException e) {
      // closed meanwhile, or a system without TCP_INFO
      return UNKNOWN;
    }
  }
}
