package saltlatch.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import saltlatch.api.Ticks;

/**
 * What the operating system knows about a connection, by TCP_INFO. Each call is a system call, so
 * callers ask only where the difference matters. Has no state; called on the connection's event
 * loop.
 */
public final class TcpConnectionInfo {
  private static final long UNKNOWN_AGE = 0;
  // states of net/tcp_states.h
  private static final int STATE_CLOSE = 7;
  private static final int STATE_CLOSE_WAIT = 8;

  private TcpConnectionInfo() {}

  /**
   * Returns how long ago the operating system received the newest bytes, in ticks; 0 if TCP_INFO is
   * unavailable or the connection has closed. Guards against executing a request whose client has
   * already given up: a process that was stopped would treat bytes that arrived during the stop as
   * if they had just arrived.
   */
  public static long ticksSinceLastReceive(NetSocket socket) {
    EpollTcpInfo info = read(socket);
    return info == null ? UNKNOWN_AGE : info.lastDataRecv() * Ticks.PER_MILLISECOND;
  }

  /** Returns whether the other side has closed its output; false if TCP_INFO is unavailable. */
  public static boolean isClosedByPeer(NetSocket socket) {
    EpollTcpInfo info = read(socket);
    return info != null && (info.state() == STATE_CLOSE_WAIT || info.state() == STATE_CLOSE);
  }

  private static EpollTcpInfo read(NetSocket socket) {
    try {
      Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
      return channel instanceof EpollSocketChannel epoll ? epoll.tcpInfo() : null;
    } catch (RuntimeException e) {
      // The connection has closed, or the system has no TCP_INFO.
      return null;
    }
  }
}
