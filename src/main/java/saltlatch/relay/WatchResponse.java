package saltlatch.relay;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.internal.buffer.BufferInternal;
import java.util.ArrayDeque;
import java.util.Deque;
import saltlatch.distribution.Message;

/**
 * The response to one watch, or to one request for a snapshot, which is handled as a watch that
 * ends after the snapshot. It writes one piece at a time, and the next one when the socket has
 * accepted it, so that a watcher that reads nothing costs no memory of its own besides the kernel's
 * send buffer.
 */
final class WatchResponse {
  /** Receives the response's events on the event loop. */
  interface Listener {
    /** Called when the socket has accepted everything that was sent. */
    void drained(WatchResponse response);

    /** Called when the socket has accepted a piece that is not the last of its message. */
    void progressed(WatchResponse response);

    /** Called when a request for a snapshot has been answered or refused. */
    void answered(WatchResponse response);
  }

  private static final int UNAVAILABLE = 503;
  private static final int CHUNK_DELIMITER_BYTES = 4; // two CRLFs
  private static final String RETRY_AFTER_S = "1"; // the header's shortest delay

  private final long id;
  private final boolean follows;
  private final InboundConnection connection;
  private final HttpServerResponse response;
  private final Context loop;
  private final EncodedMessageCache encodedMessages;
  private final Listener listener;
  private final Deque<EncodedMessage> unsent = new ArrayDeque<>(); // the first one is being written
  private int nextPiece;
  private boolean ended;
  private long bytesAccepted;

  WatchResponse(long id, boolean follows, InboundConnection connection, HttpServerResponse response,
      Context loop, EncodedMessageCache encodedMessages, Listener listener) {
    this.id = id;
    this.follows = follows;
    this.connection = connection;
    this.response = response;
    this.loop = loop;
    this.encodedMessages = encodedMessages;
    this.listener = listener;
  }

  long id() {
    return id;
  }

  /** Returns the bytes of the chunked response body that the socket has accepted. */
  long bytesAccepted() {
    return bytesAccepted;
  }

  /** Sends a message; a request for a snapshot is refused if no snapshot is available yet. */
  void send(Message message) {
    if (ended) return;
    if (!follows && message.kind() != Message.Kind.SNAPSHOT) {
      refuse();
      listener.answered(this);
      return;
    }
    if (!response.headWritten()) writeHead();
    unsent.add(encodedMessages.acquire(message));
    if (unsent.size() == 1) writePiece();
  }

  /** Refuses the request with status 503 and a delay after which the client may retry. */
  void refuse() {
    ended = true;
    response.setStatusCode(UNAVAILABLE).putHeader("retry-after", RETRY_AFTER_S).end();
  }

  /**
   * Ends the response. If {@code graceful} is set and a watch has no unsent message, the response
   * is completed before the connection is closed; otherwise the connection is closed at once.
   */
  void close(boolean graceful) {
    boolean betweenMessages = follows && unsent.isEmpty();
    ended = true;
    if (!graceful || !betweenMessages) {
      connection.close();
      return;
    }
    if (!response.headWritten()) writeHead();
    response.end().onComplete(v -> connection.close());
  }

  /** Stops writing, because the connection has been closed. */
  void connectionClosed() {
    ended = true;
  }

  private void writeHead() {
    response.setChunked(true).putHeader("content-type", "application/json");
  }

  private void writePiece() {
    EncodedMessage message = unsent.peek();
    BufferInternal piece = BufferInternal.buffer(message.piece(nextPiece));
    Future<Void> written = response.write(piece);
    int length = piece.length() + framingBytes(piece.length());
    written.onComplete(result -> {
      if (result.succeeded()) bytesAccepted += length;
      else ended = true; // the connection's close handler reports the failure
      if (!ended && !message.isLast(nextPiece)) {
        nextPiece++;
        listener.progressed(this);
        // one piece per turn of the loop, so that a snapshot does not delay other connections
        loop.runOnContext(v -> continueMessage());
      } else {
        finish(message);
      }
    });
  }

  /** Returns the bytes that the chunk's size line and line ends add. */
  private static int framingBytes(int length) {
    return Integer.toHexString(length).length() + CHUNK_DELIMITER_BYTES;
  }

  private void continueMessage() {
    if (ended) finish(unsent.peek());
    else writePiece();
  }

  private void finish(EncodedMessage message) {
    unsent.remove();
    encodedMessages.release(message);
    nextPiece = 0;
    if (ended) {
      unsent.forEach(encodedMessages::release);
      unsent.clear();
    } else if (!unsent.isEmpty()) {
      writePiece();
    } else if (follows) {
      listener.drained(this);
    } else {
      ended = true;
      response.end();
      listener.answered(this);
    }
  }
}
