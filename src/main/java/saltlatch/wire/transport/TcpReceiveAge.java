package saltlatch.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import saltlatch.api.Ticks;

/**
 * Reads from TCP_INFO how long ago the operating system received the newest bytes of a connection.
 * Guards against executing a request whose client has already given up: a process that was stopped
 * would treat bytes that arrived during the stop as if they had just arrived. Has no state; called
 * on the connection's event loop, and only after this node was stalled.
 */
public final class TcpReceiveAge {
  private static final long UNKNOWN = 0;

  private TcpReceiveAge() {}

  /** Returns the age in ticks; 0 if TCP_INFO is unavailable or the connection has closed. */
  public static long ticksSinceLastReceive(NetSocket socket) {
    try {
      Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
      return channel instanceof EpollSocketChannel epoll
          ? epoll.tcpInfo().lastDataRecv() * Ticks.PER_MILLISECOND : UNKNOWN;
    } catch (RuntimeException e) {
      // The connection has closed, or the system has no TCP_INFO.
      return UNKNOWN;
    }
  }
}
