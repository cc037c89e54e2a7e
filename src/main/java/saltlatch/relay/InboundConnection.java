package saltlatch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * One accepted connection of the relay's listener. Limits the bytes that the client may send before
 * its requests are answered.
 */
final class InboundConnection {
  /** Bytes that may arrive before a response is complete: one request, or a few pipelined ones. */
  static final int MAX_UNANSWERED_BYTES = 16 * 1024;

  private final ChannelHandlerContext firstContext;
  private int unansweredBytes;

  InboundConnection(HttpConnection connection) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    pipeline.addFirst(new InboundLimit());
    firstContext = pipeline.firstContext();
  }

  /**
   * Resets the count of unanswered bytes when a response is complete. This is never called while a
   * watch is open, since its response does not end.
   */
  void answered() {
    unansweredBytes = 0;
  }

  /**
   * Closes the connection without waiting for pending writes. A close through Vert.x or through the
   * channel waits for them, so a client that never reads would keep its connection open forever. A
   * close that starts at the pipeline's first handler passes no handler that could delay it.
   */
  void close() {
    var unused = firstContext.close();
  }

  /**
   * Closes the connection of a client that keeps sending requests after it opened a watch, or while
   * it does not read the responses.
   */
  private final class InboundLimit extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      unansweredBytes += ((ByteBuf) message).readableBytes();
      if (unansweredBytes <= MAX_UNANSWERED_BYTES) {
        context.fireChannelRead(message);
      } else {
        ReferenceCountUtil.release(message);
        close();
      }
    }
  }
}
