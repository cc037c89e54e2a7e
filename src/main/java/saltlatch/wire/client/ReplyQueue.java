package saltlatch.wire.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.List;
import saltlatch.state.ConnectionMemory;
import saltlatch.state.MemoryBudget;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.TcpConnectionInfo;

/**
 * The replies that a client's connection owes, in the order of its commands. A reply is pending
 * until it and all earlier ones are set and the socket has room; it is unsent until the operating
 * system has taken its last byte.
 *
 * <p>The bytes of all unsent replies are reserved in a budget that all connections share. Guards
 * against clients that do not read, and against long replies that wait behind a slow one: together
 * they would fill the heap. Owned by the connection; used on the event loop.
 */
final class ReplyQueue {
  /** Replies are written together up to this size, and the last of them beyond it. */
  private static final int MAX_WRITE_BYTES = 4 * 1024;

  private final NetSocket socket;
  private final Scheduler scheduler;
  private final ConnectionMemory memory;
  private final ArrayDeque<PendingReply> pending = new ArrayDeque<>();
  private int writesInProgress;
  private long lastProgressTicks; // the last write that began on an idle socket, or that ended

  ReplyQueue(NetSocket socket, Scheduler scheduler, MemoryBudget unsentReplies) {
    this.socket = socket;
    this.scheduler = scheduler;
    memory = new ConnectionMemory(unsentReplies);
  }

  void add(PendingReply reply) {
    pending.add(reply);
  }

  int size() {
    return pending.size();
  }

  /** Returns whether no reply is pending. */
  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Returns how far the written replies have come. */
  CloseDecision.Delivery delivery() {
    if (writesInProgress > 0) return CloseDecision.Delivery.WRITING;
    return TcpConnectionInfo.isOutputDelivered(socket) ? CloseDecision.Delivery.DELIVERED
        : CloseDecision.Delivery.ON_THEIR_WAY;
  }

  /** Returns whether the client has taken nothing of its unsent replies since this time. */
  boolean isStalledSince(long ticks) {
    return writesInProgress > 0 && lastProgressTicks <= ticks;
  }

  /** Reserves memory for a reply of this size; returns false if all memory is in use. */
  boolean tryReserve(int sizeBytes) {
    return memory.tryResize(memory.heldBytes() + sizeBytes);
  }

  /**
   * Writes the replies that are set, up to the first one that is not.
   *
   * @param beyondRoom whether to write even if the socket has no room, since the connection closes
   */
  void writeReady(boolean beyondRoom) {
    while (hasReadyReply() && (beyondRoom || !socket.writeQueueFull())) {
      if (writesInProgress == 0) lastProgressTicks = scheduler.now();
      writesInProgress++;
      writeTogether(pending.poll());
    }
  }

  /** Writes this reply and those behind it that are set, up to a size, in one system call. */
  private void writeTogether(PendingReply first) {
    Buffer bytes = first.reply();
    int reservedBytes = first.reservedBytes();
    if (hasReadyReply()) bytes = bytes.copy();
    while (hasReadyReply() && bytes.length() < MAX_WRITE_BYTES) {
      PendingReply next = pending.poll();
      bytes.appendBuffer(next.reply());
      reservedBytes += next.reservedBytes();
    }
    int releasedBytes = reservedBytes;
    socket.write(bytes).onComplete(written -> sent(releasedBytes));
  }

  private boolean hasReadyReply() {
    return !pending.isEmpty() && pending.peek().hasReply();
  }

  private void sent(int sizeBytes) {
    writesInProgress--;
    lastProgressTicks = scheduler.now();
    // nothing is held any more if the connection has ended
    memory.tryResize(Math.max(0, memory.heldBytes() - sizeBytes));
  }

  /** Returns the requests without a final response, in the order of their commands. */
  List<RequestContext> unfinishedRequests() {
    return pending.stream().filter(PendingReply::isAwaitingResponse).map(PendingReply::request)
        .toList();
  }

  /** Drops all replies and releases their memory; called when the connection ends. */
  void clear() {
    pending.clear();
    memory.clear();
  }
}
