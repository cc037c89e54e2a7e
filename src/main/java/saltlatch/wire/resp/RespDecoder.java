package saltlatch.wire.resp;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import saltlatch.state.ConnectionMemory;
import saltlatch.state.MemoryBudget;
import saltlatch.wire.FramingException;

/**
 * Splits the byte stream of one connection into RESP2 values. Each connection owns a decoder and
 * calls it on the event loop. It must not be used again after a {@link FramingException}.
 *
 * <p>Between two reads a decoder holds at most one incomplete message, in a buffer of the size that
 * its header declares. A buffer beyond {@link ConnectionMemory#UNRESERVED_BYTES} is reserved in a
 * budget that all connections share. If the budget refuses, the message is skipped up to its end
 * and returned as {@link RespValue.Discarded}, so that the connection stays usable. Guards against
 * many partners that each begin a long message and stop: their buffers together would fill the
 * heap.
 */
public final class RespDecoder {
  /** No message of the protocol has more than two levels of arrays. */
  private static final int MAX_ARRAY_LEVELS = 2;
  private static final int INITIAL_BUFFER_BYTES = 512;
  /** A buffer grows in steps of this size, so that a slow line does not copy it at each byte. */
  private static final int BUFFER_STEP_BYTES = 1024;
  private static final int LINE_END_BYTES = 2;

  private final ConnectionMemory memory;
  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int begin; // index of the first buffered byte that no returned value includes
  private int end; // index after the last buffered byte
  private int position; // index of the next byte to parse within the value being read
  private int requiredBytes; // of the incomplete message; with fewer, parsing it again is useless
  private MessageSkipper skipper; // null unless the current message is skipped
  private long fedBytes; // since the connection began

  /** Creates a decoder without a limit for all connections together. */
  public RespDecoder() {
    this(MemoryBudget.unlimited());
  }

  /** Creates a decoder that reserves memory for an incomplete message in this budget. */
  public RespDecoder(MemoryBudget incompleteMessages) {
    memory = new ConnectionMemory(incompleteMessages);
  }

  /** Appends bytes that were received on the connection. */
  public void feed(Buffer received) {
    int size = received.length();
    if (begin == end) {
      begin = 0;
      end = 0;
    }
    if (end + size > buffer.length) moveTo(Math.max(buffer.length, end - begin + size));
    received.getBytes(buffer, end);
    end += size;
    fedBytes += size;
  }

  /** Moves the buffered bytes to the begin of a buffer of this size. */
  private void moveTo(int sizeBytes) {
    int heldBytes = end - begin;
    byte[] target = sizeBytes == buffer.length ? buffer : new byte[sizeBytes];
    System.arraycopy(buffer, begin, target, 0, heldBytes);
    buffer = target;
    begin = 0;
    end = heldBytes;
  }

  /**
   * Returns the next complete value; null if more bytes are needed to complete it.
   *
   * @throws FramingException if the bytes are not a RESP2 value, or the value exceeds a limit
   */
  public RespValue next() throws FramingException {
    if (skipper != null) return skip();
    if (end - begin < requiredBytes) return null;
    position = begin;
    RespValue value = readValue(0);
    if (value == null) return keepIncomplete() ? null : skip();
    begin = position;
    messageEnded();
    return value;
  }

  /** Returns how many bytes of the stream belong to the values that were returned. */
  public long returnedBytes() {
    return fedBytes - (end - begin);
  }

  /** Returns whether no bytes are buffered beyond the values that were returned. */
  public boolean isEmpty() {
    return begin == end && skipper == null;
  }

  /** Releases the memory of an incomplete message; called when the connection ends. */
  public void close() {
    memory.clear();
  }

  private void messageEnded() {
    requiredBytes = 0;
    memory.clear();
    if (begin == end) shrinkTo(INITIAL_BUFFER_BYTES);
  }

  /** Releases the buffer of a long message, so that many idle connections use little memory. */
  private void shrinkTo(int sizeBytes) {
    if (buffer.length > ConnectionMemory.UNRESERVED_BYTES && buffer.length > sizeBytes)
      moveTo(sizeBytes);
  }

  /**
   * Keeps the incomplete message in a buffer for the bytes that it is known to need; returns false
   * if the budget refuses them, in which case the message has to be skipped.
   */
  private boolean keepIncomplete() throws FramingException {
    if (requiredBytes > RespHeader.MAX_MESSAGE_BYTES) throw RespHeader.messageTooLong(end - begin);
    int sizeBytes = bufferSizeFor(requiredBytes);
    if (!memory.tryResize(sizeBytes)) {
      memory.clear();
      skipper = new MessageSkipper();
      return false;
    }
    if (sizeBytes > buffer.length) moveTo(sizeBytes);
    else shrinkTo(sizeBytes);
    return true;
  }

  private static int bufferSizeFor(int bytes) {
    if (bytes <= INITIAL_BUFFER_BYTES) return INITIAL_BUFFER_BYTES;
    int steps = (bytes + BUFFER_STEP_BYTES - 1) / BUFFER_STEP_BYTES;
    return steps * BUFFER_STEP_BYTES;
  }

  /** Returns null if the end of the message that is being skipped is not buffered. */
  private RespValue skip() throws FramingException {
    skipBuffered();
    if (!skipper.isComplete()) {
      int receivedBytes = skipper.skippedBytes() + end - begin;
      if (receivedBytes > RespHeader.MAX_MESSAGE_BYTES)
        throw RespHeader.messageTooLong(receivedBytes);
      shrinkTo(bufferSizeFor(end - begin));
      return null;
    }
    RespValue discarded = new RespValue.Discarded(skipper.skippedBytes());
    skipper = null;
    messageEnded();
    return discarded;
  }

  /** Skips the buffered part of a message; only a line without its end stays buffered. */
  private void skipBuffered() throws FramingException {
    while (!skipper.isComplete()) {
      begin += skipper.skipBulkBytes(end - begin);
      position = begin;
      String line = readLine();
      if (line == null) return;
      skipper.skipLine(line, position - begin);
      begin = position;
    }
  }

  /** Returns null if the value is incomplete, as all methods below do. */
  private RespValue readValue(int level) throws FramingException {
    String line = readLine();
    if (line == null) return null;
    RespHeader header = RespHeader.parse(line);
    return switch (header.type()) {
      case '$' -> readBulk(header.length());
      case '*' -> readArray(header.length(), level);
      default -> new RespValue.Line(header.type(), header.text());
    };
  }

  private RespValue readBulk(int length) throws FramingException {
    if (length == RespHeader.NULL_LENGTH) return new RespValue.Bulk(null);
    int bulkEnd = position + length;
    if (end < bulkEnd + LINE_END_BYTES) {
      requiredBytes = bulkEnd + LINE_END_BYTES - begin;
      return null;
    }
    if (!isLineEnd(bulkEnd))
      throw RespHeader.bulkWithoutEnd("expected CR LF after " + length + " bytes");
    byte[] bytes = Arrays.copyOfRange(buffer, position, bulkEnd);
    position = bulkEnd + LINE_END_BYTES;
    return new RespValue.Bulk(bytes);
  }

  private RespValue readArray(int count, int level) throws FramingException {
    if (count == RespHeader.NULL_LENGTH) return new RespValue.Array(null);
    if (level >= MAX_ARRAY_LEVELS) {
      throw new FramingException("RESP2 array at level " + (level + 1), "arrays too deep",
          MAX_ARRAY_LEVELS + " levels");
    }
    List<RespValue> elements = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      RespValue element = readValue(level + 1);
      if (element == null) return null;
      elements.add(element);
    }
    return new RespValue.Array(elements);
  }

  private String readLine() throws FramingException {
    for (int i = position; i + 1 < end && i - position <= RespHeader.MAX_LINE_BYTES; i++) {
      if (isLineEnd(i)) {
        String text = new String(buffer, position, i - position, StandardCharsets.ISO_8859_1);
        position = i + LINE_END_BYTES;
        return text;
      }
    }
    if (end - position > RespHeader.MAX_LINE_BYTES) throw RespHeader.lineTooLong();
    requiredBytes = end - begin + 1;
    return null;
  }

  private boolean isLineEnd(int index) {
    return buffer[index] == '\r' && buffer[index + 1] == '\n';
  }
}
