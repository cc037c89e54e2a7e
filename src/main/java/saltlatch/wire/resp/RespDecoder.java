package saltlatch.wire.resp;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import saltlatch.wire.FramingException;

/**
 * Splits the byte stream of one connection into RESP2 values. Each connection owns a decoder and
 * calls it on the event loop. A decoder buffers at most one incomplete value, of up to
 * {@link #MAX_MESSAGE_BYTES}, and the bytes that were read together with its last byte. It must not
 * be used again after a {@link FramingException}.
 */
public final class RespDecoder {
  /** The longest bulk string that the protocol allows. */
  private static final int MAX_VALUE_BYTES = 64 * 1024;
  /** Far longer than any error text or number of the protocol. */
  private static final int MAX_LINE_BYTES = 1024;
  /** Commands have at most five values, replies at most three. */
  private static final int MAX_ARRAY_VALUES = 16;
  /** No message of the protocol has more than two levels of arrays. */
  private static final int MAX_ARRAY_LEVELS = 2;
  /** One value of maximum length, and eight lines for the other values. */
  private static final int MAX_MESSAGE_BYTES = MAX_VALUE_BYTES + 8 * MAX_LINE_BYTES;

  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final int KEPT_BUFFER_BYTES = 4 * MAX_LINE_BYTES;
  private static final int LINE_END_BYTES = 2;
  /** The length that marks a null string or a null array. */
  private static final int NULL_LENGTH = -1;

  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int begin; // index of the first buffered byte that no returned value includes
  private int end; // index after the last buffered byte
  private int position; // index of the next byte to parse within the value being read

  /** Appends bytes that were received on the connection. */
  public void feed(Buffer received) {
    int size = received.length();
    if (begin == end) {
      begin = 0;
      end = 0;
    }
    if (end + size > buffer.length) ensureCapacity(size);
    received.getBytes(buffer, end);
    end += size;
  }

  private void ensureCapacity(int size) {
    int held = end - begin;
    byte[] target = held + size > buffer.length ? new byte[Math.max(2 * buffer.length, held + size)]
        : buffer;
    System.arraycopy(buffer, begin, target, 0, held);
    buffer = target;
    begin = 0;
    end = held;
  }

  /**
   * Returns the next complete value; null if more bytes are needed to complete it.
   *
   * @throws FramingException if the bytes are not a RESP2 value, or the value exceeds a limit
   */
  public RespValue next() throws FramingException {
    position = begin;
    RespValue value = readValue(0);
    if (value == null) {
      if (end - begin > MAX_MESSAGE_BYTES) {
        throw new FramingException("RESP2 value, incomplete after " + (end - begin) + " bytes",
            "message too long", MAX_MESSAGE_BYTES + " bytes");
      }
      return null;
    }
    begin = position;
    // Releases the buffer of a long message, so that many idle connections use little memory.
    if (isEmpty() && buffer.length > KEPT_BUFFER_BYTES) buffer = new byte[INITIAL_BUFFER_BYTES];
    return value;
  }

  /** Returns whether no bytes are buffered beyond the values that were returned. */
  public boolean isEmpty() {
    return begin == end;
  }

  /** Returns null if the value is incomplete, as all methods below do. */
  private RespValue readValue(int level) throws FramingException {
    String line = readLine();
    if (line == null) return null;
    if (line.isEmpty()) throw noValue("an empty line");
    char type = line.charAt(0);
    String rest = line.substring(1);
    return switch (type) {
      case '+', '-', ':' -> new RespValue.Line(type, rest);
      case '$' -> readBulk(parseLength(rest, MAX_VALUE_BYTES, "bytes"));
      case '*' -> readArray(parseLength(rest, MAX_ARRAY_VALUES, "values"), level);
      default -> throw noValue("byte 0x" + Integer.toHexString(type));
    };
  }

  private RespValue readBulk(int length) throws FramingException {
    if (length == NULL_LENGTH) return new RespValue.Bulk(null);
    if (end - position < length + LINE_END_BYTES) return null;
    if (!isLineEnd(position + length)) {
      throw new FramingException("RESP2 bulk string, expected CR LF after " + length + " bytes",
          "bulk string without its end");
    }
    byte[] bytes = Arrays.copyOfRange(buffer, position, position + length);
    position += length + LINE_END_BYTES;
    return new RespValue.Bulk(bytes);
  }

  private RespValue readArray(int count, int level) throws FramingException {
    if (count == NULL_LENGTH) return new RespValue.Array(null);
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
    for (int i = position; i + 1 < end && i - position <= MAX_LINE_BYTES; i++) {
      if (isLineEnd(i)) {
        String text = new String(buffer, position, i - position, StandardCharsets.ISO_8859_1);
        position = i + LINE_END_BYTES;
        return text;
      }
    }
    if (end - position > MAX_LINE_BYTES) {
      throw new FramingException("RESP2 line", "line too long", MAX_LINE_BYTES + " bytes");
    }
    return null;
  }

  private boolean isLineEnd(int index) {
    return buffer[index] == '\r' && buffer[index + 1] == '\n';
  }

  private static int parseLength(String text, int limit, String unit) throws FramingException {
    try {
      int length = Integer.parseInt(text);
      if (length >= NULL_LENGTH && length <= limit && !text.startsWith("+")) return length;
    } catch (NumberFormatException e) {
      // Falls through: handled like a number that is out of range.
    }
    throw new FramingException("RESP2 length, expected " + NULL_LENGTH + " to " + limit,
        "no length: " + text, limit + " " + unit);
  }

  private static FramingException noValue(String found) {
    return new FramingException("RESP2 type, expected one of + - : $ *, found " + found,
        "no RESP2 value");
  }
}
