package saltlatch.wire.client;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import saltlatch.state.ClientRequest;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.wire.FramingException;
import saltlatch.wire.MalformedMessageException;
import saltlatch.wire.resp.RespEncoder;
import saltlatch.wire.resp.RespValue;

/**
 * Processes the commands of one connection: passes requests to the listener's handler, and replies
 * to all other commands at once. Each command adds exactly one pending reply. Owned by the
 * connection; used on the event loop.
 */
final class ClientCommandDispatcher {
  private static final String PING = "PING";
  private static final String INFO = "INFO";
  private static final Buffer PONG = RespEncoder.line("+PONG");
  private static final Buffer NOT_READY = RespEncoder.line("-ERR not ready");
  private static final Buffer UNKNOWN_COMMAND = RespEncoder.line("-ERR unknown command");
  private static final Buffer MALFORMED_COMMAND = RespEncoder.line("-ERR malformed command");

  private final ClientListener listener;
  private final Supplier<PendingReply> newReply;

  /**
   * Creates a dispatcher.
   *
   * @param newReply adds a pending reply to the connection's queue and returns it
   */
  ClientCommandDispatcher(ClientListener listener, Supplier<PendingReply> newReply) {
    this.listener = listener;
    this.newReply = newReply;
  }

  /**
   * Processes one message of a client.
   *
   * @throws FramingException if it is no command, so that the client's next one can't be found
   */
  void process(RespValue command) throws FramingException {
    if (command instanceof RespValue.Discarded) {
      listener.metrics().add(Metric.COMMANDS_OVER_MEMORY_LIMIT);
      newReply.get().reject(0);
      return;
    }
    if (!(command instanceof RespValue.Array array)) {
      char type = command instanceof RespValue.Line line ? line.type() : '$';
      throw new FramingException("command of RESP2 type " + type, "a command is an array");
    }
    List<RespValue> words = array.elements() == null ? List.of() : array.elements();
    String verb = verb(words);
    if (verb.startsWith(ClientCommandDecoder.VERB_PREFIX)) {
      processRequest(words);
    } else if (verb.equalsIgnoreCase(PING)) {
      replyLine(listener.isReady() ? PONG : NOT_READY);
    } else if (verb.equalsIgnoreCase(INFO)) {
      byte[] text = listener.handler().infoText().getBytes(StandardCharsets.ISO_8859_1);
      newReply.get().trySetBulk(text);
    } else {
      listener.metrics().add(Metric.COMMANDS_UNKNOWN);
      replyLine(UNKNOWN_COMMAND);
    }
  }

  private static String verb(List<RespValue> words) {
    return !words.isEmpty() && words.get(0) instanceof RespValue.Bulk verb ? verb.text() : "";
  }

  private void processRequest(List<RespValue> words) {
    ClientRequest request;
    try {
      request = ClientCommandDecoder.decode(words);
    } catch (MalformedMessageException e) {
      listener.metrics().add(Metric.COMMANDS_MALFORMED);
      replyLine(MALFORMED_COMMAND);
      return;
    }
    PendingReply pending = newReply.get();
    if (listener.isRejecting()) pending.reject(0);
    else pending.awaitResponseTo(listener.handler().requestArrived(request, pending));
  }

  private void replyLine(Buffer line) {
    newReply.get().setLine(line);
  }
}
