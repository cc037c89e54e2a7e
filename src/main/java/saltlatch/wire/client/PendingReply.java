package saltlatch.wire.client;

import io.vertx.core.buffer.Buffer;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.resp.RespEncoder;

/**
 * The reply to one command. The connection keeps its pending replies in a queue in the order of
 * the commands; a reply leaves the queue when it has been set and all earlier ones are written.
 * In the gateway, only this class contains the protocol's text for a rejected and for an aborted
 * request. Owned by the connection; used on the event loop.
 */
final class PendingReply implements RequestContext.ResponseSink {
  private static final String REJECTED = "-BUSY";
  private static final String FAILED = "-ERR aborted";

  private final ClientConnection connection;
  // null if the command is not a request, or if the reply was set when the request arrived
  private RequestContext request;
  private Buffer reply; // null until it is set

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
    connection.metrics().add(Metric.RESPONSES_SUCCEEDED);
    setReply(RespEncoder.bulk(value));
  }

  @Override
  public void reject(long retryAfterMs) {
    connection.metrics().add(Metric.RESPONSES_REJECTED);
    setReply(RespEncoder.line(retryAfterMs > 0 ? REJECTED + " " + retryAfterMs : REJECTED));
  }

  @Override
  public void fail() {
    connection.metrics().add(Metric.RESPONSES_FAILED);
    setReply(RespEncoder.line(FAILED));
  }

  @Override
  public long readDelayTicks() {
    return connection.readDelayTicks();
  }

  /** Sets the reply, which is written after the replies to all earlier commands. */
  void setReply(Buffer newReply) {
    reply = newReply;
    connection.flushReplies();
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
}
