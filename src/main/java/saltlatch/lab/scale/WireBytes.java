package saltlatch.lab.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes that a server writes to its connections: every byte that is written to the
 * kernel, including HTTP headers and chunk sizes but not TCP and IP headers. It is the first
 * handler in the pipeline of each connection. Vert.x metrics can't be used because they count only
 * bodies.
 */
@Sharable
final class WireBytes extends ChannelOutboundHandlerAdapter {
  private final LongAdder written = new LongAdder();

  /**
   * Starts to count a connection; must be called from the server's connection handler, before
   * anything is written.
   */
  void count(HttpConnection connection) {
    ((HttpServerConnection) connection).channelHandlerContext().pipeline().addFirst(this);
  }

  /** Stops counting a connection. */
  void leaveOut(HttpConnection connection) {
    ChannelPipeline pipeline = ((HttpServerConnection) connection).channelHandlerContext()
        .pipeline();
    if (pipeline.context(this) != null) pipeline.remove(this);
  }

  /** Returns the number of bytes written to all counted connections so far. */
  long out() {
    return written.sum();
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof ByteBuf bytes) written.add(bytes.readableBytes());
    super.write(context, message, promise);
  }
}
