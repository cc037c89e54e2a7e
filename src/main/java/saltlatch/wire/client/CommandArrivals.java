package saltlatch.wire.client;

import java.util.ArrayDeque;

/**
 * When the bytes of one connection arrived at this machine, by their position in the stream. The
 * operating system tells only when the newest byte of a read arrived. The bytes in front of it
 * arrived between then and the last moment at which none was waiting, and count as arrived at that
 * moment, since a request's time must not begin too late. The wait for earlier answers of the same
 * connection is left out. Times are in ticks. Owned by the connection.
 */
final class CommandArrivals {
  /** The bytes of one read, up to {@code endByte} of the stream. */
  private record Read(long endByte, long newestTicks, long earliestTicks) {}

  private static final long NONE = Long.MAX_VALUE;

  private final ArrayDeque<Read> reads = new ArrayDeque<>();
  private long receivedBytes;
  // all bytes of later reads count as arrived at this time or later; those of the first read may
  // have waited since before the connection was accepted
  private long lowestTicks;
  private long unreadSinceTicks = NONE; // reading was stopped then, and has not caught up since

  /** No complete command is left of what was received: the next one ends in a later read. */
  void allProcessed() {
    reads.clear();
  }

  /** Returns the number of reads that are recorded. */
  int recordedReads() {
    return reads.size();
  }

  /** Reading stops now, though the client may go on sending. */
  void readingStopped(long nowTicks) {
    unreadSinceTicks = Math.min(unreadSinceTicks, nowTicks);
  }

  /** Commands were not read until now because earlier ones of the connection were unanswered. */
  void waitedForAnswers(long nowTicks) {
    lowestTicks = nowTicks;
    unreadSinceTicks = NONE;
  }

  /**
   * Adds the bytes of one read.
   *
   * @param bytes            their number
   * @param newestTicks      when the newest of them arrived
   * @param unattendedTicks  since when the event loop may not have looked at the connection
   * @param nowTicks         the time of the read
   * @param readAll          whether no more bytes were waiting
   */
  void received(int bytes, long newestTicks, long unattendedTicks, long nowTicks, boolean readAll) {
    receivedBytes += bytes;
    long newest = Math.max(lowestTicks, newestTicks);
    long earliest = Math.min(newest, Math.min(unattendedTicks, unreadSinceTicks));
    reads.add(new Read(receivedBytes, newest, Math.max(lowestTicks, earliest)));
    if (!readAll) return;
    lowestTicks = nowTicks;
    unreadSinceTicks = NONE;
  }

  /** Returns when the byte before this position arrived; positions must not decrease. */
  long arrivalTicks(long position) {
    while (reads.size() > 1 && reads.peek().endByte() < position) reads.poll();
    Read read = reads.element();
    return read.endByte() == position ? read.newestTicks() : read.earliestTicks();
  }
}
