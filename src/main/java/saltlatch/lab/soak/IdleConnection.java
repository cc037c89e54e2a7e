package saltlatch.lab.soak;

import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import saltlatch.wire.FramingException;
import saltlatch.wire.resp.RespDecoder;

/**
 * A client's connection that stays idle until a given time, sends its requests then, and records
 * how it ended. Owned by {@link IdleClients}; used on its thread.
 */
final class IdleConnection {
  private static final int READ_BYTES = 4096;
  private static final long RESET_WAIT_NANOS = TimeUnit.MILLISECONDS
      .toNanos(RequestVerdict.RESET_WAIT_MS);

  private final SocketChannel channel;
  private final LocalConnections.Connection ports;
  private final List<String> pieces;
  private final int expectedReplies;
  private final RespDecoder decoder = new RespDecoder();
  private int sentPieces;
  private int replies;
  private long dueNanos;
  private long sentNanos; // of the last piece
  private long endNanos;
  private boolean ended;
  private boolean reset;
  private boolean judged; // nothing that comes later changes the verdict

  /**
   * Connects.
   *
   * @param pieces          what is written, one piece after another
   * @param expectedReplies the number of commands in all pieces
   */
  IdleConnection(int port, List<String> pieces, int expectedReplies) throws IOException {
    this.pieces = pieces;
    this.expectedReplies = expectedReplies;
    channel = SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    int localPort = ((InetSocketAddress) channel.getLocalAddress()).getPort();
    ports = new LocalConnections.Connection(localPort, port);
  }

  SocketChannel channel() {
    return channel;
  }

  LocalConnections.Connection ports() {
    return ports;
  }

  void scheduleAt(long nanos) {
    dueNanos = nanos;
  }

  long dueNanos() {
    return dueNanos;
  }

  boolean hasEnded() {
    return ended;
  }

  /** Returns whether the connection ended before anything was sent on it. */
  boolean hasEndedUnused() {
    return ended && sentPieces == 0;
  }

  boolean isJudged() {
    return judged;
  }

  /** Returns whether a piece is left to be sent on a connection that has not ended. */
  boolean isSending() {
    return !ended && sentPieces < pieces.size();
  }

  /** Writes the next piece; a broken connection ends as reset. */
  void sendNext(long nowNanos) {
    try {
      channel.write(ByteBuffer.wrap(pieces.get(sentPieces).getBytes(StandardCharsets.ISO_8859_1)));
      sentPieces++;
      if (sentPieces == pieces.size()) sentNanos = nowNanos;
    } catch (IOException e) {
      endedByReset(nowNanos);
    }
  }

  /** Reads what has come. */
  void read(long nowNanos) {
    ByteBuffer bytes = ByteBuffer.allocate(READ_BYTES);
    try {
      int length = channel.read(bytes);
      if (length < 0) end(nowNanos);
      else decode(Buffer.buffer().appendBytes(bytes.array(), 0, length));
    } catch (IOException e) {
      endedByReset(nowNanos);
    }
  }

  private void decode(Buffer bytes) throws IOException {
    decoder.feed(bytes);
    try {
      while (decoder.next() != null) replies++;
    } catch (FramingException e) {
      throw new IOException(e);
    }
  }

  private void end(long nowNanos) {
    if (ended) return;
    ended = true;
    endNanos = nowNanos;
  }

  private void endedByReset(long nowNanos) {
    end(nowNanos);
    reset = true;
    judged = true;
  }

  /** Returns whether this connection ended so long ago that a reset would have come. */
  boolean isDueForJudgement(long nowNanos) {
    return ended && !judged && nowNanos - endNanos >= RESET_WAIT_NANOS;
  }

  /** Records whether the connection was reset after its end. */
  void judge(boolean wasReset) {
    reset = wasReset;
    judged = true;
  }

  RequestVerdict verdict() {
    if (sentPieces < pieces.size()) return RequestVerdict.NOT_SENT;
    return RequestVerdict.atEnd(replies >= expectedReplies, reset);
  }

  /** Returns when the request was sent and how its connection ended, for a report of a loss. */
  String describe(long originNanos) {
    String end = ended
        ? String.format(Locale.ROOT, "clean end after %.1f ms", (endNanos - sentNanos) / 1e6)
        : "no end";
    return String.format(Locale.ROOT, "sent %.3f s after SIGTERM, %d of %d answers, %s",
        (sentNanos - originNanos) / 1e9, replies, expectedReplies, end);
  }

  void close() throws IOException {
    channel.close();
  }
}
