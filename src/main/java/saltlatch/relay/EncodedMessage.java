package saltlatch.relay;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import saltlatch.distribution.Entry;
import saltlatch.distribution.Message;

/**
 * A message in its wire format, encoded once for all watchers. Each piece is encoded when the first
 * watcher reaches it. The pieces are direct buffers, because a socket would copy a heap buffer for
 * each watcher, and are freed when the last user releases the message.
 */
final class EncodedMessage {
  /**
   * Bytes at which a piece is complete. Encoding one piece of this size takes a fraction of a
   * millisecond of the event loop.
   */
  static final int PIECE_BYTES = 64 * 1024;

  private static final int ENVELOPE_BYTES = 128; // room for the text around the entries

  private final Message message;
  private final List<ByteBuf> pieces = new ArrayList<>();
  private int nextEntry;
  private boolean complete;
  private int users;
  private long bytes;

  EncodedMessage(Message message) {
    this.message = message;
  }

  Message message() {
    return message;
  }

  /**
   * Returns the piece at {@code index}, or null after the last one. The caller must not release the
   * buffer, which is valid until the caller's {@link #removeUser}.
   */
  ByteBuf piece(int index) {
    if (index == pieces.size() && !complete) encodePiece();
    return index < pieces.size() ? pieces.get(index) : null;
  }

  /** Returns whether the piece at {@code index} is the last one. */
  boolean isLast(int index) {
    return complete && index == pieces.size() - 1;
  }

  /** Returns the bytes held outside the heap. */
  long bytes() {
    return bytes;
  }

  void addUser() {
    users++;
  }

  /** Removes a user; frees all pieces and returns true if it was the last one. */
  boolean removeUser() {
    if (--users > 0) return false;
    pieces.forEach(ByteBuf::release);
    pieces.clear();
    bytes = 0;
    return true;
  }

  private void encodePiece() {
    ByteBuf piece = Unpooled.directBuffer(capacityOfNextPiece());
    if (message.kind() == Message.Kind.KEEP_ALIVE) {
      piece.writeByte('\n');
      complete = true;
    } else {
      if (pieces.isEmpty()) writeText(piece, envelopeStart());
      while (nextEntry < message.entries().size() && piece.readableBytes() < PIECE_BYTES)
        writeEntry(piece);
      complete = nextEntry == message.entries().size();
      if (complete) writeText(piece, "]}\n");
    }
    pieces.add(piece);
    bytes += piece.capacity();
  }

  /**
   * Returns the capacity for the entries up to the one that completes the piece, so that the buffer
   * does not have to grow.
   */
  private int capacityOfNextPiece() {
    int size = ENVELOPE_BYTES;
    for (int i = nextEntry; i < message.entries().size()
        && size < PIECE_BYTES + ENVELOPE_BYTES; i++) {
      size += message.entries().get(i).json().length() + 1;
    }
    return size;
  }

  private String envelopeStart() {
    long series = message.version().series();
    return "{\"index\":" + message.version().index() + (series > 0 ? ",\"series\":" + series : "")
        + ",\"snapshot\":" + (message.kind() == Message.Kind.SNAPSHOT) + ",\"endpoints\":[";
  }

  private void writeEntry(ByteBuf piece) {
    Entry entry = message.entries().get(nextEntry);
    if (nextEntry > 0) piece.writeByte(',');
    writeText(piece, entry.removed() ? jsonWithStatusGone(entry) : entry.json());
    nextEntry++;
  }

  /**
   * Returns the entry's JSON with the status Gone. An entry that was removed because a snapshot did
   * not contain it still has the JSON, and so the status, that was last received.
   */
  private static String jsonWithStatusGone(Entry entry) {
    JsonObject json = JsonParser.parseString(entry.json()).getAsJsonObject();
    if (json.get("status").getAsString().equalsIgnoreCase("Gone")) return entry.json();
    json.addProperty("status", "Gone");
    return json.toString();
  }

  private static void writeText(ByteBuf piece, String text) {
    piece.writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }
}
