package saltlatch.wire.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import saltlatch.api.Ticks;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.wire.FramingException;
import saltlatch.wire.resp.RespDecoder;
import saltlatch.wire.resp.RespEncoder;
import saltlatch.wire.resp.RespValue;
import saltlatch.wire.transport.AvailableInput;
import saltlatch.wire.transport.InputTurns;
import saltlatch.wire.transport.SocketCloser;
import saltlatch.wire.transport.TcpConnectionInfo;

/**
 * One client's connection. Passes requests to the handler when their commands arrive, and writes
 * replies in the order of the commands. Runs on the event loop; owns the pending replies. Reading
 * stops at {@link #MAX_PENDING_REPLIES}, so the pending replies exceed this number by at most the
 * commands of a single read.
 *
 * <p>Invariant: every byte that this process has read is in the decoder, and every complete command
 * among them has its reply or a place in the queue of replies. Whatever the reason of a close, this
 * side reads what has arrived right before it decides, answers it, and closes when nothing had
 * arrived ({@link CloseDecision}). What arrives later is never read, and the operating system
 * resets the connection, which shows the client that it was not processed. There are three
 * exceptions. After lost framing the following bytes are no commands. A client that has closed its
 * side, or that does not read its replies, cannot receive any. When the process terminates, what is
 * left is reset.
 */
final class ClientConnection {
  /** Pending commands at which reading stops. */
  private static final int MAX_PENDING_REPLIES = 64;
  /** While this node ends, a client that takes nothing for this long is assumed not to read. */
  private static final long NOT_READING_TICKS = Ticks.PER_SECOND / 10;

  private static final long DELIVERY_CHECK_TICKS = 5 * Ticks.PER_MILLISECOND;

  private static final long NEVER = Long.MAX_VALUE;

  private static final Buffer INCOMPLETE_COMMAND = RespEncoder.line("-ERR command incomplete");
  private static final String PROTOCOL_ERROR_PREFIX = "-ERR Protocol error: ";

  private final ClientListener listener;
  private final NetSocket socket;
  private final RespDecoder decoder;
  private final ReplyQueue replies;
  private final ClientCommandDispatcher commands;
  private final ClientInput input;
  private final InputTurns.Participant turns;
  private final CommandArrivals arrivals = new CommandArrivals();
  private boolean closed; // no more input is parsed and no more replies are written
  private boolean processingInput; // commands are being processed
  private boolean hasBacklog; // complete commands may be in the decoder
  private boolean waitsForAnswers; // reading was stopped because too many replies are unsent
  private boolean hasSentCommand;
  private boolean inputDropped; // bytes were read behind lost framing
  private CloseReason errorReason; // null until framing is lost; then no more input is parsed
  private boolean awaitsDelivery; // a timer looks whether the replies have reached the client
  private long readBytes;
  private long finishedTicks = NEVER; // when the last reply of a connection that ends was written
  // time of the accept, of the last complete command, or of the first byte of the next command
  private long lastUsedTicks;

  ClientConnection(ClientListener listener, NetSocket socket) {
    this.listener = listener;
    this.socket = socket;
    decoder = new RespDecoder(listener.memory().incompleteCommands());
    replies = new ReplyQueue(socket, listener.scheduler(), listener.memory().unsentReplies());
    commands = new ClientCommandDispatcher(listener, this::addPendingReply);
    input = new ClientInput(socket);
    turns = listener.inputTurns().join(this::processCommands);
    lastUsedTicks = listener.scheduler().now();
    socket.handler(this::read);
    socket.exceptionHandler(e -> metrics().add(Metric.CLIENT_CONNECTIONS_BROKEN));
    socket.closeHandler(v -> connectionEnded());
    socket.drainHandler(v -> flushReplies());
    // without a handler Vert.x closes the connection as soon as the listener accepts no more
    socket.shutdownHandler(v -> {});
  }

  /** Returns whether no reply is pending. */
  private boolean isIdle() {
    return replies.isEmpty();
  }

  /** Returns whether no more input is parsed, and the connection closes behind its last reply. */
  boolean hasLostFraming() {
    return errorReason != null;
  }

  /** Reserves memory for a reply of this size; returns false if all memory is in use. */
  boolean tryReserveReply(int sizeBytes) {
    return replies.tryReserve(sizeBytes);
  }

  long lastUsedTicks() {
    return lastUsedTicks;
  }

  NodeMetrics metrics() {
    return listener.metrics();
  }

  /** Returns for how many ticks the command that was last decoded has been on this machine. */
  long readDelayTicks() {
    return listener.scheduler().now() - arrivals.arrivalTicks(decoder.returnedBytes());
  }

  // ---- closing

  /**
   * Closes the connection for this reason, unless the client is owed a reply or commands have
   * arrived. Reads what has arrived first.
   *
   * @return whether the connection is closed
   */
  boolean tryClose(CloseReason reason) {
    if (closed) return true;
    if (processingInput) return false;
    writeReadyReplies();
    boolean clientEnded = false;
    if (mayReadBefore(reason)) {
      AvailableInput arrived = input.readAvailable();
      if (!arrived.isEmpty()) {
        read(arrived.bytes());
        return false;
      }
      clientEnded = arrived.isEnded();
    }
    CloseReason actualReason = hasLostFraming() && !reason.isForced() ? errorReason : reason;
    CloseDecision.State state = closeState(clientEnded);
    CloseDecision decision = CloseDecision.of(actualReason, state);
    if (decision != CloseDecision.KEEP) carryOut(decision, actualReason, state);
    return closed;
  }

  private boolean mayReadBefore(CloseReason reason) {
    return !hasLostFraming() && !reason.isForced() && isIdle() && !hasBacklog && clientReads();
  }

  private CloseDecision.State closeState(boolean clientEnded) {
    return new CloseDecision.State(replies.size(), hasBacklog, !decoder.isEmpty(), inputDropped,
        replies.delivery(), clientReads(), clientEnded);
  }

  private boolean clientReads() {
    return !replies.isStalledSince(listener.scheduler().now() - NOT_READING_TICKS);
  }

  private void carryOut(CloseDecision decision, CloseReason reason, CloseDecision.State state) {
    closed = true;
    listener.closed(this);
    listener.closedConnections().add(reason, decision, state, readBytes,
        TcpConnectionInfo.receivedBytes(socket));
    if (decision == CloseDecision.RESET) SocketCloser.resetNow(socket);
    else closeNow();
    abandonRequests();
  }

  private void closeNow() {
    if (listener.isRejecting()) SocketCloser.endAtExit(socket);
    SocketCloser.closeNow(socket);
  }

  /** Closes the connection if its client has read nothing of its replies since this time. */
  void closeIfStalledSince(long ticks) {
    if (closed || !replies.isStalledSince(ticks)) return;
    metrics().add(Metric.CLIENT_CONNECTIONS_NOT_READING);
    tryClose(CloseReason.NOT_READING);
  }

  /**
   * Closes the connection if it has been unused since this time or longer, and has sent no command
   * yet or only part of its latest one, or if its client has not taken its last reply since then.
   */
  void closeIfIncompleteSince(long ticks) {
    boolean isBetweenCommands = hasSentCommand && decoder.isEmpty();
    if (closed || lastUsedTicks > ticks) return;
    if (hasLostFraming()) {
      if (finishedTicks <= ticks) tryClose(CloseReason.NOT_READING);
    } else if (isBetweenCommands || input.isStopped()) {
      return;
    } else if (decoder.isEmpty()) {
      if (tryClose(CloseReason.UNUSED)) metrics().add(Metric.CLIENT_CONNECTIONS_SILENT);
    } else if (isIdle() && !hasBacklog) {
      replyToIncompleteCommand();
    }
  }

  private void replyToIncompleteCommand() {
    Buffer arrived = input.readAvailable().bytes();
    if (arrived.length() > 0) read(arrived);
    boolean mayBeComplete = arrived.length() == ClientInput.READ_BYTES || hasBacklog
        || decoder.isEmpty() || !isIdle();
    if (closed || hasLostFraming() || mayBeComplete) return;
    metrics().add(Metric.CLIENT_CONNECTIONS_SILENT);
    loseFraming(CloseReason.INCOMPLETE_COMMAND, INCOMPLETE_COMMAND);
  }

  /** Sets the connection's last reply; no more input is processed. */
  private void loseFraming(CloseReason reason, Buffer error) {
    hasBacklog = false;
    errorReason = reason;
    addPendingReply().setLine(error);
  }

  /** Aborts the requests that have no final response, so that they get one now. */
  void abortRequests() {
    replies.unfinishedRequests().forEach(listener.handler()::abort);
  }

  /** Closes behind the last reply if the framing is lost, or if this node stops. */
  private void closeIfFinished() {
    if (closed || processingInput || !isIdle()) return;
    if (!hasLostFraming() && !listener.isClosing()) return;
    if (hasLostFraming() && finishedTicks == NEVER) finishedTicks = listener.scheduler().now();
    if (tryClose(CloseReason.DRAINING) || !isIdle() || hasBacklog) return;
    boolean waitsForRestOfCommand = !hasLostFraming() && !decoder.isEmpty();
    if (!waitsForRestOfCommand) closeOnceDelivered();
  }

  /** Tries to close again later, since the operating system does not tell of a delivery. */
  private void closeOnceDelivered() {
    if (awaitsDelivery) return;
    awaitsDelivery = true;
    listener.scheduler().scheduleAt(listener.scheduler().now() + DELIVERY_CHECK_TICKS, () -> {
      awaitsDelivery = false;
      closeIfFinished();
    });
  }

  private void connectionEnded() {
    closed = true;
    listener.connectionEnded(this);
    abandonRequests();
  }

  /** Ends the requests without a reply, and releases the memory of all others. */
  private void abandonRequests() {
    replies.unfinishedRequests().forEach(listener.handler()::clientDisconnected);
    releaseMemory();
  }

  private void releaseMemory() {
    turns.close();
    decoder.close();
    replies.clear();
  }

  // ---- commands

  private void read(Buffer received) {
    if (hasLostFraming()) inputDropped = true;
    if (hasLostFraming() || closed || clientHasClosed()) return;
    readBytes += received.length();
    if (listener.isRejecting()) SocketCloser.resetAtExit(socket);
    long nowTicks = listener.scheduler().now();
    if (decoder.isEmpty()) lastUsedTicks = nowTicks;
    decoder.feed(received);
    if (!hasBacklog) arrivals.allProcessed();
    boolean readAll = received.length() < ClientInput.READ_BYTES;
    arrivals.received(received.length(), nowTicks - TcpConnectionInfo.ticksSinceLastReceive(socket),
        listener.handler().unattendedSinceTicks(nowTicks), nowTicks, readAll);
    hasBacklog = true;
    turns.bytesReceived(!readAll);
    updateReading();
  }

  /**
   * Returns whether the client has closed its side. Only asked while reading is stopped, since the
   * close itself is not handed over before all bytes in front of it.
   */
  private boolean clientHasClosed() {
    return input.isStopped() && TcpConnectionInfo.isClosedByPeer(socket);
  }

  /** Processes commands in a turn of this connection; returns whether the turn was too short. */
  private boolean processCommands(InputTurns.Turn turn) {
    processingInput = true;
    try {
      while (hasBacklog) {
        hasBacklog = processNext();
        if (hasBacklog && !turn.hasTime()) return true;
      }
    } catch (FramingException e) {
      metrics().add(Metric.COMMANDS_LOST_FRAMING);
      loseFraming(CloseReason.LOST_FRAMING, RespEncoder.line(PROTOCOL_ERROR_PREFIX + e.problem()));
    } finally {
      endTurn();
    }
    return false;
  }

  private void endTurn() {
    processingInput = false;
    writeReadyReplies();
    updateReading();
    // not at once, because the same iteration may read more commands
    if (hasLostFraming() || listener.isClosing())
      listener.scheduler().afterCurrentIteration(this::closeIfFinished);
  }

  /** Returns false if no command is complete. */
  private boolean processNext() throws FramingException {
    RespValue command = decoder.next();
    if (command == null) return false;
    lastUsedTicks = listener.scheduler().now();
    hasSentCommand = true;
    listener.commandReceived(this);
    commands.process(command);
    return true;
  }

  // ---- replies

  private PendingReply addPendingReply() {
    PendingReply pending = new PendingReply(this);
    replies.add(pending);
    return pending;
  }

  /**
   * Writes the replies that are set, up to the first command whose reply is still pending. Those
   * that are set while commands are processed are written together at the end of the turn.
   */
  void flushReplies() {
    if (closed || processingInput) return;
    writeReadyReplies();
    updateReading();
    closeIfFinished();
  }

  private void writeReadyReplies() {
    boolean connectionCloses = hasLostFraming() || listener.isRejecting();
    replies.writeReady(connectionCloses);
  }

  /**
   * Reads only while what was read is processed and its replies can be sent. Guards against a
   * client that reads replies too slowly or not at all.
   */
  private void updateReading() {
    if (closed) return;
    boolean hasRoom = replies.size() < MAX_PENDING_REPLIES && !socket.writeQueueFull();
    if (hasLostFraming() || hasBacklog || !hasRoom) stopReading(hasBacklog);
    else resumeReading();
  }

  private void stopReading(boolean forTurn) {
    if (forTurn) arrivals.readingStopped(listener.scheduler().now());
    else waitsForAnswers = true;
    input.stop();
  }

  private void resumeReading() {
    if (waitsForAnswers) arrivals.waitedForAnswers(listener.scheduler().now());
    waitsForAnswers = false;
    // the client could not send the rest of a command while reading was stopped
    if (input.resume()) lastUsedTicks = listener.scheduler().now();
  }
}
