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
 * Counts exactly what a server writes to its connections: every byte that is handed to the kernel,
 * HTTP's headers and chunk sizes among them; not TCP's and IP's own. First in the pipeline of each
 * connection. Vert.x' own metrics count bodies alone.
 */
@Sharable
final class WireBytes extends ChannelOutboundHandlerAdapter {
  private final LongAdder out = new LongAdder();

  /**
   * Counts this connection from now on; called from the server's connection handler, before
   * anything is written.
   */
  void count(HttpConnection connection) {
    ((HttpServerConnection) connection).channelHandlerContext().pipeline().addFirst(this);
  }

  /** Counts this connection no more. */
  void leaveOut(HttpConnection connection) {
    ChannelPipeline pipeline = ((HttpServerConnection) connection).channelHandlerContext()
        .pipeline();
    if (pipeline.context(this) != null) pipeline.remove(this);
  }

  /** Bytes written to all connections so far. */
  long out() {
    return out.sum();
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof ByteBuf bytes) out.add(bytes.readableBytes());
    super.write(context, message, promise);
  }
}
