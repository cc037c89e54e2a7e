package saltlatch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * A connection that the relay has accepted from a client. Limits the number of bytes that the
 * client may send between two complete responses.
 */
final class InboundConnection {
  /**
   * Maximum number of bytes that may arrive between two complete responses. It is enough for one
   * request or a few pipelined requests.
   */
  static final int MAX_UNANSWERED_BYTES = 16 * 1024;

  private final ChannelHandlerContext firstContext;
  private int unansweredBytes;

  InboundConnection(HttpConnection connection) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
    pipeline.addFirst(new InboundLimit());
    firstContext = pipeline.firstContext();
  }

  /**
   * Resets the number of unanswered bytes. Must be called when a response is complete. The response
   * to a watch does not end, so the number is not reset while a watch is open.
   */
  void answered() {
    unansweredBytes = 0;
  }

  /**
   * Closes the connection without waiting for pending writes. The close methods of Vert.x and of
   * the channel wait for pending writes, so a client that never reads could keep its connection
   * open forever. Calling close on the context of the pipeline's first handler skips the handlers
   * that would delay the close.
   */
  void close() {
    var unused = firstContext.close();
  }

  /**
   * Closes the connection when the client exceeds {@link #MAX_UNANSWERED_BYTES}, by requests that
   * it sends while a watch is open or while it does not read the responses.
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
