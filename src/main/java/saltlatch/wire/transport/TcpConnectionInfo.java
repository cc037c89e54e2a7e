package saltlatch.wire.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.RawUnixChannelOption;
import io.vertx.core.net.NetSocket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import saltlatch.api.Ticks;

/**
 * What the operating system knows about a connection, by the socket option TCP_INFO. Each call is a
 * system call, so callers ask only where the difference matters. Has no state; called on the
 * connection's event loop.
 */
public final class TcpConnectionInfo {
  /** The result of {@link #receivedBytes} if the operating system does not tell. */
  public static final long UNKNOWN_BYTES = -1;

  private static final long UNKNOWN_AGE = 0;
  // states of net/tcp_states.h
  private static final int STATE_CLOSE = 7;
  private static final int STATE_CLOSE_WAIT = 8;
  // struct tcp_info of linux/tcp.h, and the offsets of its fields in bytes
  private static final int INFO_BYTES = 168;
  private static final int STATE_OFFSET = 0;
  private static final int UNACKNOWLEDGED_SEGMENTS_OFFSET = 24;
  private static final int LAST_RECEIVE_MS_OFFSET = 52;
  private static final int RECEIVED_BYTES_OFFSET = 128;
  private static final int NOT_SENT_BYTES_OFFSET = 144;
  private static final int PROTOCOL_TCP = 6;
  private static final int OPTION_TCP_INFO = 11;
  private static final RawUnixChannelOption TCP_INFO = new RawUnixChannelOption("TCP_INFO",
      PROTOCOL_TCP, OPTION_TCP_INFO, INFO_BYTES);

  private TcpConnectionInfo() {}

  /**
   * Returns how long ago the operating system received the newest bytes, in ticks; 0 if TCP_INFO is
   * unavailable or the connection has closed. Guards against executing a request whose client has
   * already given up: a process that was stopped would treat bytes that arrived during the stop as
   * if they had just arrived.
   */
  public static long ticksSinceLastReceive(NetSocket socket) {
    ByteBuffer info = read(socket);
    if (info == null) return UNKNOWN_AGE;
    return Integer.toUnsignedLong(info.getInt(LAST_RECEIVE_MS_OFFSET)) * Ticks.PER_MILLISECOND;
  }

  /** Returns whether the other side has closed its output; false if TCP_INFO is unavailable. */
  public static boolean isClosedByPeer(NetSocket socket) {
    ByteBuffer info = read(socket);
    if (info == null) return false;
    int state = info.get(STATE_OFFSET);
    return state == STATE_CLOSE_WAIT || state == STATE_CLOSE;
  }

  /**
   * Returns whether the other side's system has confirmed all that this side's system has taken;
   * true if TCP_INFO is unavailable, since waiting for a confirmation would never end.
   */
  public static boolean isOutputDelivered(NetSocket socket) {
    ByteBuffer info = read(socket);
    return info == null || (info.getInt(UNACKNOWLEDGED_SEGMENTS_OFFSET) == 0
        && info.getInt(NOT_SENT_BYTES_OFFSET) == 0);
  }

  /** Returns how many bytes the operating system has received; or {@link #UNKNOWN_BYTES}. */
  public static long receivedBytes(NetSocket socket) {
    ByteBuffer info = read(socket);
    return info == null ? UNKNOWN_BYTES : info.getLong(RECEIVED_BYTES_OFFSET);
  }

  private static ByteBuffer read(NetSocket socket) {
    Channel channel = NettySockets.channel(socket);
    if (!(channel instanceof EpollSocketChannel)) return null;
    try {
      ByteBuffer info = channel.config().getOption(TCP_INFO);
      return info == null ? null : info.order(ByteOrder.nativeOrder());
    } catch (ChannelException e) {
      // The connection has closed, or the system has no TCP_INFO.
      return null;
    }
  }
}
