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
 * among them has its reply or a place in the queue of replies. This side closes the connection only
 * once all these replies are written, and never before it has read what arrived while reading was
 * stopped. This holds for each close: after a reply at shutdown, when the connection is unused,
 * incomplete or replaced by a new one, and when this node ends; a reload closes none. The event
 * loop may still hand over bytes after reading was stopped, so the close begins one iteration after
 * the stop, and not if commands came in between. A connection that is already ending is replaced
 * only after its client has been sent the replies. There are three exceptions. After lost framing
 * the following bytes are no commands. A client that has closed its side, or that does not read its
 * replies, cannot receive any. Bytes that arrive during the close stay unread, and the resulting
 * reset shows the client that they were not processed.
 */
final class ClientConnection {
  /** Pending commands at which reading stops. */
  private static final int MAX_PENDING_REPLIES = 64;
  /** While this node ends, a client that takes nothing for this long is assumed not to read. */
  private static final long NOT_READING_TICKS = Ticks.PER_SECOND / 10;

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
  private boolean framingLost; // no more input is parsed
  private boolean closed; // or lingering; no more input is parsed and no more replies are written
  private boolean processingInput; // commands are being processed
  private boolean hasBacklog; // complete commands may be in the decoder
  private boolean waitsForAnswers; // reading was stopped because too many replies are unsent
  private boolean hasSentCommand;
  private boolean hasReadSinceStop; // while this side is about to close the connection
  // time of the accept, of the last complete command, or of the first byte of the next command
  private long lastUsedTicks;

  ClientConnection(ClientListener listener, NetSocket socket) {
    this.listener = listener;
    this.socket = socket;
    decoder = new RespDecoder(listener.memory().incompleteCommands());
    replies = new ReplyQueue(socket, listener.scheduler(), listener.memory().unsentReplies());
    commands = new ClientCommandDispatcher(listener, this::addPendingReply);
    input = new ClientInput(socket, listener.scheduler(), this::inputCaughtUp);
    turns = listener.inputTurns().join(this::processCommands);
    lastUsedTicks = listener.scheduler().now();
    socket.handler(this::read);
    socket.exceptionHandler(e -> metrics().add(Metric.CLIENT_CONNECTIONS_BROKEN));
    socket.closeHandler(v -> connectionEnded());
    socket.drainHandler(v -> flushReplies());
  }

  /** Returns whether no reply is pending. */
  private boolean isIdle() {
    return replies.isEmpty();
  }

  /**
   * Returns whether the connection may be closed in favour of a new one: closing would lose no
   * reply, or the client has read none for too long.
   */
  boolean isReplaceable(long staleTicks) {
    return replies.isStalledSince(staleTicks) || (isCaughtUp() && replies.isSent());
  }

  /** Returns whether the client has been sent all its replies, or has read none for too long. */
  boolean owesNoReply(long staleTicks) {
    return replies.isSent() || replies.isStalledSince(staleTicks);
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
   * Closes at once. If bytes are unread, the operating system resets the connection; the reset
   * shows the client that those commands were not processed, and it sends them again on a new
   * connection.
   */
  void close() {
    closed = true;
    listener.closed(this);
    releaseMemory();
    SocketCloser.closeNow(socket);
  }

  /** Closes the connection if its client has read nothing of its replies since this time. */
  void closeIfStalledSince(long ticks) {
    if (closed || !replies.isStalledSince(ticks)) return;
    metrics().add(Metric.CLIENT_CONNECTIONS_NOT_READING);
    close();
  }

  private void linger() {
    closed = true;
    turns.close();
    decoder.close();
    listener.startedLingering(this);
    new LingeringClose(socket, listener.scheduler(), framingLost).begin(listener.isRejecting());
  }

  /**
   * Closes the connection if it has been unused since this time or longer, and has sent no command
   * yet or only part of its latest one.
   */
  void closeIfIncompleteSince(long ticks) {
    boolean isBetweenCommands = hasSentCommand && decoder.isEmpty();
    if (closed || lastUsedTicks > ticks || !isUnused() || isBetweenCommands) return;
    metrics().add(Metric.CLIENT_CONNECTIONS_SILENT);
    framingLost = true;
    if (decoder.isEmpty()) close();
    else addPendingReply().setLine(INCOMPLETE_COMMAND);
  }

  void closeIfIdle() {
    if (closed) return;
    writeReadyReplies();
    boolean clientReads = !replies.isStalledSince(listener.scheduler().now() - NOT_READING_TICKS);
    if (isUnused()) lingerAfterLastRead();
    else if (isIdle() && !clientReads) linger();
  }

  /** Aborts the requests that have no final response, so that they get one now. */
  void abortRequests() {
    replies.unfinishedRequests().forEach(listener.handler()::abort);
  }

  /**
   * Starts a lingering close if the framing is lost, or if this node stops and no command is left.
   * Guards, while this node stops, against closing before the replies to commands that were read
   * together with the one just answered, or that waited while reading was stopped: their client
   * would treat them as lost.
   */
  private void lingerIfFinished() {
    if (closed || processingInput || !isIdle()) return;
    if (framingLost) linger();
    else if (listener.isClosing() && isUnused() && decoder.isEmpty()) lingerAfterLastRead();
  }

  /**
   * Stops reading, and starts a lingering close once the loop can hand over no more bytes. Guards
   * against discarding a command that the loop reads after the stop.
   */
  private void lingerAfterLastRead() {
    hasReadSinceStop = false;
    input.stop();
    listener.scheduler().afterCurrentIteration(() -> {
      if (closed) return;
      if (hasReadSinceStop) updateReading();
      else linger();
    });
  }

  /** Returns whether no reply is pending, and no command waits to be read or processed. */
  private boolean isUnused() {
    return isIdle() && isCaughtUp();
  }

  private boolean isCaughtUp() {
    return input.isCaughtUp() && !hasBacklog;
  }

  private void inputCaughtUp() {
    if (closed) return;
    // the client could not send the rest of a command while reading was stopped
    lastUsedTicks = listener.scheduler().now();
    lingerIfFinished();
  }

  private void connectionEnded() {
    closed = true;
    listener.connectionEnded(this);
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
    if (framingLost || closed || clientHasClosed()) return;
    hasReadSinceStop = true;
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
      framingLost = true;
      hasBacklog = false;
      addPendingReply().setLine(RespEncoder.line(PROTOCOL_ERROR_PREFIX + e.problem()));
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
    if (framingLost || listener.isClosing())
      listener.scheduler().afterCurrentIteration(this::lingerIfFinished);
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
    lingerIfFinished();
  }

  private void writeReadyReplies() {
    boolean connectionCloses = framingLost || listener.isRejecting();
    replies.writeReady(connectionCloses);
  }

  /**
   * Reads only while what was read is processed and its replies can be sent. Guards against a
   * client that reads replies too slowly or not at all.
   */
  private void updateReading() {
    if (closed) return;
    boolean hasRoom = replies.size() < MAX_PENDING_REPLIES && !socket.writeQueueFull();
    if (framingLost || hasBacklog || !hasRoom) stopReading(hasBacklog);
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
    input.resume();
  }
}
