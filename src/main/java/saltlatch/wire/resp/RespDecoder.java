package saltlatch.wire.resp;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts a byte stream into RESP2 values. After {@link Lost} the stream has no place to go on from.
 */
public final class RespDecoder {
  static final int LONGEST_VALUE = 64 * 1024; // bytes, as the protocol page says
  // bytes of a line: far over any error text or number
  private static final int LONGEST_LINE = 1024;
  // of an array: commands have five at most, answers three
  private static final int MOST_ITEMS = 16;
  private static final int DEEPEST = 2; // arrays within arrays that make sense here
  private static final int LONGEST = LONGEST_VALUE + 8 * LONGEST_LINE; // bytes of a whole message

  /** The framing is lost, or a message is too long. */
  public static final class RespFramingException extends Exception {
    private static final long serialVersionUID = 1;

    public RespFramingException(String why) {
      super(why, null, false, false);
    }
  }

  private byte[] data = new byte[512];
  private int from;
  private int to;
  private int at;

  public void feed(Buffer more) {
    int size = more.length();
    if (from == to) from = to = 0;
    if (to + size > data.length) {
      byte[] target = to - from + size > data.length
          ? new byte[Math.max(2 * data.length, to - from + size)] : data;
      System.arraycopy(data, from, target, 0, to - from);
      data = target;
      to -= from;
      from = 0;
    }
    more.getBytes(data, to);
    to += size;
  }

  /** The next whole value; null while it has not all come. */
  public RespValue next() throws RespFramingException {
    at = from;
    RespValue value = value(0);
    if (value == null) {
      if (to - from > LONGEST) throw new RespFramingException("message too long");
      return null;
    }
    from = at;
    // a long one came; idle ones stay small
    if (from == to && data.length > LONGEST_LINE * 4) data = new byte[512];
    return value;
  }

  /** Nothing has come beyond the values that were read. */
  public boolean isEmpty() {
    return from == to;
  }

  /** Null while it has not all come, as from all below. */
  private RespValue value(int depth) throws RespFramingException {
    String line = line();
    if (line == null) return null;
    char type = line.isEmpty() ? 0 : line.charAt(0);
    String rest = line.isEmpty() ? "" : line.substring(1);
    return switch (type) {
      case '+', '-', ':' -> new RespValue.Line(type, rest);
      case '$' -> bulk(number(rest, LONGEST_VALUE));
      case '*' -> many(number(rest, MOST_ITEMS), depth);
      default -> throw new RespFramingException("no RESP2 value");
    };
  }

  private RespValue bulk(int size) throws RespFramingException {
    if (size < 0) return new RespValue.Bulk(null);
    if (to - at < size + 2) return null;
    if (data[at + size] != '\r' || data[at + size + 1] != '\n')
      throw new RespFramingException("bulk string without its end");
    byte[] bytes = Arrays.copyOfRange(data, at, at + size);
    at += size + 2;
    return new RespValue.Bulk(bytes);
  }

  private RespValue many(int count, int depth) throws RespFramingException {
    if (count < 0) return new RespValue.Array(null);
    if (depth >= DEEPEST) throw new RespFramingException("arrays too deep");
    List<RespValue> items = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      RespValue item = value(depth + 1);
      if (item == null) return null;
      items.add(item);
    }
    return new RespValue.Array(items);
  }

  private String line() throws RespFramingException {
    for (int i = at; i + 1 < to && i - at <= LONGEST_LINE; i++) {
      if (data[i] == '\r' && data[i + 1] == '\n') {
        String text = new String(data, at, i - at, StandardCharsets.ISO_8859_1);
        at = i + 2;
        return text;
      }
    }
    if (to - at > LONGEST_LINE) throw new RespFramingException("line too long");
    return null;
  }

  private static int number(String text, int most) throws RespFramingException {
    try {
      int n = Integer.parseInt(text);
      if (n >= -1 && n <= most && !text.startsWith("+")) return n;
    } catch (NumberFormatException e) {
      // falls through: as good as a number out of range
    }
    throw new RespFramingException("no length: " + text);
  }
}
