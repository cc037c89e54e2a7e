package saltlatch.wire.client;

import io.vertx.core.buffer.Buffer;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.resp.RespEncoder;

/**
 * The reply to one command. The connection keeps its pending replies in a {@link ReplyQueue}; a
 * reply leaves it when it has been set and all earlier ones are written. In the gateway, only this
 * class contains the protocol's text for a rejected and for an aborted request. Owned by the
 * connection; used on the event loop.
 */
final class PendingReply implements RequestContext.ResponseSink {
  private static final String REJECTED = "-BUSY";
  private static final Buffer REJECTED_WITHOUT_ADVICE = RespEncoder.line(REJECTED);
  private static final Buffer FAILED = RespEncoder.line("-ERR aborted");
  private static final Buffer OUT_OF_MEMORY = RespEncoder.line("-ERR out of memory");

  private final ClientConnection connection;
  // null if the command is not a request, or if the reply was set when the request arrived
  private RequestContext request;
  private Buffer reply; // null until it is set
  private int reservedBytes;

  PendingReply(ClientConnection connection) {
    this.connection = connection;
  }

  /**
   * Sets the request whose final response becomes the reply.
   *
   * @param newRequest the request; null if the reply has been set already
   */
  void awaitResponseTo(RequestContext newRequest) {
    request = newRequest;
  }

  @Override
  public void succeed(byte[] value) {
    boolean replied = trySetBulk(value);
    connection.metrics().add(replied ? Metric.RESPONSES_SUCCEEDED : Metric.RESPONSES_FAILED);
  }

  @Override
  public void reject(long retryAfterMs) {
    connection.metrics().add(Metric.RESPONSES_REJECTED);
    setLine(retryAfterMs > 0 ? RespEncoder.line(REJECTED + " " + retryAfterMs)
        : REJECTED_WITHOUT_ADVICE);
  }

  @Override
  public void fail() {
    connection.metrics().add(Metric.RESPONSES_FAILED);
    setLine(FAILED);
  }

  @Override
  public long readDelayTicks() {
    return connection.readDelayTicks();
  }

  /** Sets a reply of one short line, for which no memory is reserved. */
  void setLine(Buffer line) {
    reply = line;
    connection.flushReplies();
  }

  /**
   * Sets a bulk string as the reply, or an error if the memory for unsent replies is used up;
   * returns whether it was the bulk string.
   */
  boolean trySetBulk(byte[] value) {
    int sizeBytes = RespEncoder.maxBulkBytes(value.length);
    if (!connection.tryReserveReply(sizeBytes)) {
      connection.metrics().add(Metric.REPLIES_OVER_MEMORY_LIMIT);
      setLine(OUT_OF_MEMORY);
      return false;
    }
    reservedBytes = sizeBytes;
    reply = RespEncoder.bulk(value);
    connection.flushReplies();
    return true;
  }

  boolean hasReply() {
    return reply != null;
  }

  /** Returns whether the command is a request that has no final response yet. */
  boolean isAwaitingResponse() {
    return request != null && reply == null;
  }

  RequestContext request() {
    return request;
  }

  Buffer reply() {
    return reply;
  }

  /** Returns how many bytes were reserved for the reply; 0 for a line. */
  int reservedBytes() {
    return reservedBytes;
  }
}
