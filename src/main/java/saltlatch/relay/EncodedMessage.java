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
 * A message as it goes over the wire, encoded once for all watchers, piece by piece as the first of
 * them gets there. The pieces lie outside the heap, since sockets would copy them for each watcher
 * otherwise, and are freed once nobody uses them.
 */
final class EncodedMessage {
  /** Bytes from which on a piece is full: the encoding of one takes a fraction of a ms. */
  static final int PIECE_BYTES = 64 * 1024;

  private static final int HEAD_BYTES = 128; // room for what comes before and behind the entries

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
   * The piece of a place, null behind the last. It must not be released, and is there while its
   * user is.
   */
  ByteBuf piece(int place) {
    if (place == pieces.size() && !complete) encodePiece();
    return place < pieces.size() ? pieces.get(place) : null;
  }

  /** True if there is no piece behind this one. */
  boolean isLast(int place) {
    return complete && place == pieces.size() - 1;
  }

  /** Bytes held outside the heap. */
  long bytes() {
    return bytes;
  }

  void addUser() {
    users++;
  }

  /** Frees all once the last user is gone, and says whether it was. */
  boolean removeUser() {
    if (--users > 0) return false;
    pieces.forEach(ByteBuf::release);
    pieces.clear();
    bytes = 0;
    return true;
  }

  private void encodePiece() {
    ByteBuf piece = Unpooled.directBuffer(sizeOfNext());
    if (message.kind() == Message.Kind.KEEP_ALIVE) {
      piece.writeByte('\n');
      complete = true;
    } else {
      if (pieces.isEmpty()) writeText(piece, head());
      while (nextEntry < message.entries().size() && piece.readableBytes() < PIECE_BYTES)
        writeEntry(piece);
      complete = nextEntry == message.entries().size();
      if (complete) writeText(piece, "]}\n");
    }
    pieces.add(piece);
    bytes += piece.capacity();
  }

  /** Room for the entries up to the one that fills the piece, so that it need not grow. */
  private int sizeOfNext() {
    int size = HEAD_BYTES;
    for (int i = nextEntry; i < message.entries().size() && size < PIECE_BYTES + HEAD_BYTES; i++) {
      size += message.entries().get(i).json().length() + 1;
    }
    return size;
  }

  private String head() {
    long series = message.version().series();
    return "{\"index\":" + message.version().index() + (series > 0 ? ",\"series\":" + series : "")
        + ",\"snapshot\":" + (message.kind() == Message.Kind.SNAPSHOT) + ",\"endpoints\":[";
  }

  private void writeEntry(ByteBuf piece) {
    Entry entry = message.entries().get(nextEntry);
    if (nextEntry > 0) piece.writeByte(',');
    writeText(piece, entry.removed() ? goneJson(entry) : entry.json());
    nextEntry++;
  }

  /**
   * A removed entry says so, also where it was only missing in a whole list and its JSON is the
   * last that was received.
   */
  private static String goneJson(Entry entry) {
    JsonObject json = JsonParser.parseString(entry.json()).getAsJsonObject();
    if (json.get("status").getAsString().equalsIgnoreCase("Gone")) return entry.json();
    json.addProperty("status", "Gone");
    return json.toString();
  }

  private static void writeText(ByteBuf piece, String text) {
    piece.writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }
}
