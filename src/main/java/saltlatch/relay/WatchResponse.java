package saltlatch.relay;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.internal.buffer.BufferInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import saltlatch.distribution.Message;

/**
 * One watch of this relay, or one request for the whole list, which is a watch that ends behind it.
 * It writes one piece at a time and the next once the socket has taken it: a watcher that reads
 * nothing holds no bytes of its own but those that the system holds for its socket.
 */
final class WatchResponse {
  /** Gets its events, on the event loop. */
  interface Listener {
    /** The socket has taken all that was sent. */
    void drained(WatchResponse watcher);

    /** The socket has taken a piece of a message. */
    void progressed(WatchResponse watcher);

    /** A request for the whole list has been answered. */
    void answered(WatchResponse watcher);
  }

  private static final int UNAVAILABLE = 503;
  private static final int CHUNK_LINE_ENDS = 4; // bytes: two CRLFs
  private static final String RETRY_AFTER_S = "1"; // seconds, the least that the header can say

  private final long id;
  private final boolean follows;
  private final InboundConnection connection;
  private final HttpServerResponse response;
  private final Context loop;
  private final EncodedMessageCache encoder;
  private final Listener host;
  private final Deque<EncodedMessage> unsent = new ArrayDeque<>(); // the first is being written
  private int nextPiece;
  private boolean ended;
  private long bytesTaken;

  WatchResponse(long id, boolean follows, InboundConnection connection, HttpServerResponse response,
      Context loop, EncodedMessageCache encoder, Listener host) {
    this.id = id;
    this.follows = follows;
    this.connection = connection;
    this.response = response;
    this.loop = loop;
    this.encoder = encoder;
    this.host = host;
  }

  long id() {
    return id;
  }

  /** Bytes of the answer's body, as chunked, that the socket has taken. */
  long bytesTaken() {
    return bytesTaken;
  }

  /** Sends a message; a request for the whole list is refused if that can't be had yet. */
  void send(Message message) {
    if (ended) return;
    if (!follows && message.kind() != Message.Kind.SNAPSHOT) {
      refuse();
      host.answered(this);
      return;
    }
    if (!response.headWritten()) openHead();
    unsent.add(encoder.use(message));
    if (unsent.size() == 1) writePiece();
  }

  /** Too much is asked of this relay: come again. */
  void refuse() {
    ended = true;
    response.setStatusCode(UNAVAILABLE).putHeader("retry-after", RETRY_AFTER_S).end();
  }

  /**
   * Ends it; a watch with nothing on the way ends as a whole answer does, else the connection does.
   */
  void close(boolean politely) {
    boolean whole = follows && unsent.isEmpty();
    ended = true;
    if (!politely || !whole) {
      connection.close();
      return;
    }
    if (!response.headWritten()) openHead();
    response.end().onComplete(v -> connection.close());
  }

  /** Its connection has ended. */
  void connectionClosed() {
    ended = true;
  }

  private void openHead() {
    response.setChunked(true).putHeader("content-type", "application/json");
  }

  private void writePiece() {
    EncodedMessage message = unsent.peek();
    BufferInternal piece = BufferInternal.buffer(message.piece(nextPiece));
    Future<Void> taken = response.write(piece);
    int length = piece.length() + framing(piece.length());
    taken.onComplete(result -> {
      if (result.succeeded()) bytesTaken += length;
      else ended = true; // the connection breaks, which has an event of its own
      if (!ended && !message.isLast(nextPiece)) {
        nextPiece++;
        host.progressed(this);
        // one piece a turn: others wait for no whole list
        loop.runOnContext(v -> continueMessage());
      } else {
        finish(message);
      }
    });
  }

  /** Bytes that the chunk's head and end add. */
  private static int framing(int length) {
    return Integer.toHexString(length).length() + CHUNK_LINE_ENDS;
  }

  private void continueMessage() {
    if (ended) finish(unsent.peek());
    else writePiece();
  }

  private void finish(EncodedMessage message) {
    unsent.remove();
    encoder.release(message);
    nextPiece = 0;
    if (ended) {
      unsent.forEach(encoder::release);
      unsent.clear();
    } else if (!unsent.isEmpty()) {
      writePiece();
    } else if (follows) {
      host.drained(this);
    } else {
      ended = true;
      response.end();
      host.answered(this);
    }
  }
}
