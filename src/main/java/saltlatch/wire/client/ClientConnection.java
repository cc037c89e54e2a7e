package saltlatch.wire.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import saltlatch.state.ClientRequest;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.wire.FramingException;
import saltlatch.wire.MalformedMessageException;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespEncoder;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.SocketCloser;
import saltlatch.wire.transport.TcpReceiveAge;

/**
 * One client's connection. Hands requests on as their commands come, and writes replies in the
 * order of the commands. Runs on the event loop; owns the replies that are pending. Reading stops
 * at {@link #MAX_PENDING_REPLIES}, so there are no more than these and what a single read brings.
 */
final class ClientConnection {
  /** Commands without a reply before reading stops; 4 MB of replies. */
  private static final int MAX_PENDING_REPLIES = 64;

  private static final String PING = "PING";
  private static final String INFO = "INFO";
  private static final String PONG = "+PONG";
  private static final String NOT_READY = "-ERR not ready";
  private static final String UNKNOWN_COMMAND = "-ERR unknown command";
  private static final String MALFORMED_COMMAND = "-ERR malformed command";
  private static final String INCOMPLETE_COMMAND = "-ERR command incomplete";
  private static final String PROTOCOL_ERROR_PREFIX = "-ERR Protocol error: ";

  private final ClientListener listener;
  private final NetSocket socket;
  private final RespDecoder decoder = new RespDecoder();
  private final ArrayDeque<PendingReply> pendingReplies = new ArrayDeque<>();
  private boolean framingLost; // nothing more is read
  private boolean closed; // or lingering: nothing more is taken or written
  private boolean reading; // what came is being taken, command by command
  private boolean hasSentCommand;
  private long usedAtTicks; // acceptance, the last whole command, or the first byte of the next one

  ClientConnection(ClientListener listener, NetSocket socket) {
    this.listener = listener;
    this.socket = socket;
    usedAtTicks = listener.scheduler().now();
    socket.handler(this::read);
    socket.exceptionHandler(e -> metrics().add(Metric.CLIENT_CONNECTIONS_BROKEN));
    socket.closeHandler(v -> connectionEnded());
    socket.drainHandler(v -> resumeReading());
  }

  /** Whether no reply is pending. */
  boolean isIdle() {
    return pendingReplies.isEmpty();
  }

  long usedAtTicks() {
    return usedAtTicks;
  }

  NodeMetrics metrics() {
    return listener.metrics();
  }

  /** How long the last bytes lay unread in the operating system; 0 if that is not known. */
  long readDelayTicks() {
    return TcpReceiveAge.ticksSinceLastReceive(socket);
  }

  // ---- how it ends

  /**
   * Closes at once. What is unread makes the operating system reset the connection, from which the
   * client knows that it was not taken, and sends it again on a new connection.
   */
  void close() {
    closed = true;
    listener.closed(this);
    SocketCloser.closeNow(socket);
  }

  private void linger() {
    closed = true;
    listener.lingers(this);
    new LingeringClose(socket, listener.scheduler(), framingLost).begin(listener.isRejecting());
  }

  /** Closes if, since then or before, it has sent nothing, or half a command and no more. */
  void closeIfIncompleteSince(long ticks) {
    boolean isBetweenCommands = hasSentCommand && decoder.isEmpty();
    if (closed || usedAtTicks > ticks || !isIdle() || isBetweenCommands) return;
    metrics().add(Metric.CLIENT_CONNECTIONS_SILENT);
    framingLost = true;
    if (decoder.isEmpty()) close();
    else replyLine(INCOMPLETE_COMMAND);
  }

  void closeIfIdle() {
    if (!closed && isIdle()) linger();
  }

  /** Has the requests that wait for a final response get one now. */
  void abandonRequests() {
    List.copyOf(pendingReplies).stream().filter(PendingReply::isAwaitingResponse)
        .forEach(pending -> listener.handler().abort(pending.request()));
  }

  /**
   * Guards, while this node stops, against a connection that ends in front of commands that were
   * read together with the one just answered: they get their replies too, or their clients would
   * take them for lost.
   */
  private void lingerIfDue() {
    if (closed || reading || !isIdle()) return;
    if (framingLost || (listener.isClosing() && decoder.isEmpty())) linger();
  }

  private void connectionEnded() {
    closed = true;
    listener.connectionEnded(this);
    for (PendingReply pending : pendingReplies) {
      if (pending.isAwaitingResponse()) listener.handler().clientDisconnected(pending.request());
    }
    pendingReplies.clear();
  }

  // ---- commands

  private void read(Buffer more) {
    if (framingLost || closed) return;
    if (decoder.isEmpty()) usedAtTicks = listener.scheduler().now();
    decoder.feed(more);
    reading = true;
    try {
      takeCommands();
    } catch (FramingException e) {
      metrics().add(Metric.COMMANDS_LOST_FRAMING);
      framingLost = true;
      replyLine(PROTOCOL_ERROR_PREFIX + e.problem());
    }
    reading = false;
    if (framingLost || isFull()) socket.pause();
    lingerIfDue();
  }

  private void takeCommands() throws FramingException {
    for (RespValue command = decoder.next(); command != null; command = decoder.next()) {
      usedAtTicks = listener.scheduler().now();
      hasSentCommand = true;
      listener.commandReceived(this);
      take(command);
    }
  }

  private void take(RespValue command) throws FramingException {
    if (!(command instanceof RespValue.Array array))
      throw new FramingException("command", "a command is an array");
    List<RespValue> words = array.elements() == null ? List.of() : array.elements();
    String verb = verb(words);
    if (verb.startsWith(ClientCommandDecoder.VERB_PREFIX)) {
      takeRequest(words);
    } else if (verb.equalsIgnoreCase(PING)) {
      replyLine(listener.isReady() ? PONG : NOT_READY);
    } else if (verb.equalsIgnoreCase(INFO)) {
      byte[] text = listener.handler().infoText().getBytes(StandardCharsets.ISO_8859_1);
      addPendingReply().fill(RespEncoder.bulk(text));
    } else {
      metrics().add(Metric.COMMANDS_UNKNOWN);
      replyLine(UNKNOWN_COMMAND);
    }
  }

  private static String verb(List<RespValue> words) {
    return !words.isEmpty() && words.get(0) instanceof RespValue.Bulk verb ? verb.text() : "";
  }

  private void takeRequest(List<RespValue> words) {
    ClientRequest request;
    try {
      request = ClientCommandDecoder.decode(words);
    } catch (MalformedMessageException e) {
      metrics().add(Metric.COMMANDS_MALFORMED);
      replyLine(MALFORMED_COMMAND);
      return;
    }
    PendingReply pending = addPendingReply();
    if (listener.isRejecting()) pending.reject(0);
    else pending.awaits(listener.handler().requestArrived(request, pending));
  }

  // ---- replies

  private PendingReply addPendingReply() {
    PendingReply pending = new PendingReply(this);
    pendingReplies.add(pending);
    return pending;
  }

  private void replyLine(String line) {
    addPendingReply().fill(RespEncoder.line(line));
  }

  /** Writes the replies in front that have come; those behind one that is pending wait for it. */
  void flushReplies() {
    if (closed) return;
    while (!pendingReplies.isEmpty() && pendingReplies.peek().isFilled()) {
      socket.write(pendingReplies.poll().reply());
    }
    resumeReading();
    lingerIfDue();
  }

  private boolean isFull() {
    return pendingReplies.size() >= MAX_PENDING_REPLIES;
  }

  /** Guards against a client that reads no replies, or too few: no more commands are taken. */
  private void resumeReading() {
    if (closed) return;
    boolean writesQueued = socket.writeQueueFull();
    if (!framingLost && !isFull() && !writesQueued) socket.resume();
    else if (writesQueued) socket.pause();
  }
}
