package saltlatch.wire.resp;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import saltlatch.wire.FramingException;

/**
 * Cuts one connection's byte stream into RESP2 values. Each connection owns a decoder, on the event
 * loop; it holds no more than one value that is not whole yet, of {@link #MAX_MESSAGE_BYTES}, and
 * what was read with its last byte. After a {@link FramingException} it is of no further use.
 */
public final class RespDecoder {
  /** As the protocol's page gives it. */
  private static final int MAX_VALUE_BYTES = 64 * 1024;
  /** Far over any error text or number. */
  private static final int MAX_LINE_BYTES = 1024;
  /** Commands have five values at most, answers three. */
  private static final int MAX_ARRAY_VALUES = 16;
  /** No message of the protocol has an array within an array within an array. */
  private static final int MAX_ARRAY_LEVELS = 2;
  /** One value of full length, and lines for all the others. */
  private static final int MAX_MESSAGE_BYTES = MAX_VALUE_BYTES + 8 * MAX_LINE_BYTES;

  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final int KEPT_BUFFER_BYTES = 4 * MAX_LINE_BYTES;
  private static final int LINE_END_BYTES = 2;
  /** In place of a length: there is no string, or no array. */
  private static final int NULL_LENGTH = -1;

  private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
  private int begin; // of what has come and was not returned as a value
  private int end;
  private int position; // up to where the value that is being read has been

  /** Takes in what has come on the connection. */
  public void feed(Buffer more) {
    int size = more.length();
    if (begin == end) {
      begin = 0;
      end = 0;
    }
    if (end + size > buffer.length) makeRoom(size);
    more.getBytes(buffer, end);
    end += size;
  }

  private void makeRoom(int size) {
    int held = end - begin;
    byte[] target = held + size > buffer.length ? new byte[Math.max(2 * buffer.length, held + size)]
        : buffer;
    System.arraycopy(buffer, begin, target, 0, held);
    buffer = target;
    begin = 0;
    end = held;
  }

  /**
   * The next whole value; null while it has not all come.
   *
   * @throws FramingException where no value begins, or it exceeds a limit
   */
  public RespValue next() throws FramingException {
    position = begin;
    RespValue value = readValue(0);
    if (value == null) {
      if (end - begin > MAX_MESSAGE_BYTES) {
        throw new FramingException("RESP2 value", "message too long", MAX_MESSAGE_BYTES + " bytes");
      }
      return null;
    }
    begin = position;
    // gives back the room of a long message, so that a node's many idle connections stay small
    if (isEmpty() && buffer.length > KEPT_BUFFER_BYTES) buffer = new byte[INITIAL_BUFFER_BYTES];
    return value;
  }

  /** Whether nothing has come beyond the values that were returned. */
  public boolean isEmpty() {
    return begin == end;
  }

  /** Null while it has not all come, as from all methods below. */
  private RespValue readValue(int level) throws FramingException {
    String line = readLine();
    if (line == null) return null;
    if (line.isEmpty()) throw noValue();
    char type = line.charAt(0);
    String rest = line.substring(1);
    return switch (type) {
      case '+', '-', ':' -> new RespValue.Line(type, rest);
      case '$' -> readBulk(length(rest, MAX_VALUE_BYTES, "bytes"));
      case '*' -> readArray(length(rest, MAX_ARRAY_VALUES, "values"), level);
      default -> throw noValue();
    };
  }

  private RespValue readBulk(int length) throws FramingException {
    if (length == NULL_LENGTH) return new RespValue.Bulk(null);
    if (end - position < length + LINE_END_BYTES) return null;
    if (!isLineEnd(position + length)) {
      throw new FramingException("RESP2 bulk string", "bulk string without its end");
    }
    byte[] bytes = Arrays.copyOfRange(buffer, position, position + length);
    position += length + LINE_END_BYTES;
    return new RespValue.Bulk(bytes);
  }

  private RespValue readArray(int count, int level) throws FramingException {
    if (count == NULL_LENGTH) return new RespValue.Array(null);
    if (level >= MAX_ARRAY_LEVELS) {
      throw new FramingException("RESP2 array", "arrays too deep", MAX_ARRAY_LEVELS + " levels");
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

  private boolean isLineEnd(int at) {
    return buffer[at] == '\r' && buffer[at + 1] == '\n';
  }

  private static int length(String text, int limit, String unit) throws FramingException {
    try {
      int length = Integer.parseInt(text);
      if (length >= NULL_LENGTH && length <= limit && !text.startsWith("+")) return length;
    } catch (NumberFormatException e) {
      // falls through: as good as a number out of range
    }
    throw new FramingException("RESP2 length", "no length: " + text, limit + " " + unit);
  }

  private static FramingException noValue() {
    return new FramingException("RESP2 value", "no RESP2 value");
  }
}
