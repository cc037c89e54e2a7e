package saltlatch.wire.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelConfig;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.Socket;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Stops and resumes reading from a connection at its channel. A paused Vert.x socket still reads up
 * to eight buffers and queues them, where its owner sees neither their number nor their bytes; a
 * stopped channel leaves everything in the operating system. Vert.x's own pause must not be used on
 * the same socket, since it overwrites the channel's state. Called on the connection's event loop;
 * has no state.
 */
public final class SocketInput {
  private SocketInput() {}

  /**
   * Leaves all bytes that arrive from now on in the operating system's buffer. With epoll, the
   * handler gets them all the same once the other side has closed its output; the close follows in
   * the same iteration of the event loop. A close behind more bytes than that buffer holds is seen
   * only after some of them are read.
   */
  public static void stop(NetSocket socket) {
    config(socket).setAutoRead(false);
  }

  /** Reads again, from the next iteration of the event loop on. */
  public static void resume(NetSocket socket) {
    config(socket).setAutoRead(true);
  }

  /**
   * Has each read take this many bytes, or all that are there; called before the first read. Fewer
   * bytes then tell that none is left.
   */
  public static void fixReadSize(NetSocket socket, int bytes) {
    config(socket).setRecvByteBufAllocator(new FixedRecvByteBufAllocator(bytes));
  }

  /**
   * Reads what has arrived, up to this many bytes, without waiting for the event loop to do so.
   * Returns no bytes without the native transport.
   */
  public static AvailableInput readAvailable(NetSocket socket, int maxBytes) {
    if (!(NettySockets.channel(socket) instanceof EpollSocketChannel channel))
      return AvailableInput.NOTHING;
    if (!channel.isOpen()) return AvailableInput.ENDED;
    ByteBuf target = channel.alloc().directBuffer(maxBytes);
    try {
      ByteBuffer memory = target.internalNioBuffer(0, maxBytes);
      int length = ((Socket) channel.fd()).recv(memory, memory.position(), memory.limit());
      if (length < 0) return AvailableInput.ENDED;
      return new AvailableInput(Buffer.buffer(copy(target, length)), false);
    } catch (IOException e) {
      return AvailableInput.ENDED; // reset: the event loop reports it
    } finally {
      target.release();
    }
  }

  private static byte[] copy(ByteBuf source, int length) {
    byte[] bytes = new byte[length];
    source.getBytes(0, bytes);
    return bytes;
  }

  private static ChannelConfig config(NetSocket socket) {
    return NettySockets.channel(socket).config();
  }
}
