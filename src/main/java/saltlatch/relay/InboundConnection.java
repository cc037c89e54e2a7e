package saltlatch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/** A connection of the relay's listener, and what its other side may cost. */
final class InboundConnection {
  /**
   * Bytes that may come before what was asked is answered: a request, or a few written one behind
   * the other.
   */
  static final int MAX_UNANSWERED_BYTES = 16 * 1024;

  private final ChannelHandlerContext first;
  private int unansweredBytes;

  InboundConnection(HttpConnection connection) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    pipeline.addFirst(new InboundLimit());
    first = pipeline.firstContext();
  }

  /** What was asked is answered: as many bytes may come anew. A watch is never answered. */
  void answered() {
    unansweredBytes = 0;
  }

  /**
   * Ends it without waiting until what was written is taken, as Vert.x and a close of its channel
   * do: whoever takes nothing would stay for ever. From the pipeline's first handler on, a close
   * meets nobody that holds it up.
   */
  void close() {
    var unused = first.close();
  }

  /** Guards against requests written without end behind a watch or answers that nobody reads. */
  private final class InboundLimit extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object read) {
      unansweredBytes += ((ByteBuf) read).readableBytes();
      if (unansweredBytes <= MAX_UNANSWERED_BYTES) {
        context.fireChannelRead(read);
      } else {
        ReferenceCountUtil.release(read);
        close();
      }
    }
  }
}
