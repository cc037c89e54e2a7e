package saltlatch.wire.resp;

import saltlatch.wire.FramingException;

/**
 * The first line of a RESP2 value, with the limits that the protocol sets. Immutable.
 *
 * @param type   {@code +}, {@code -} or {@code :} for a value of one line, {@code $} for a bulk
 *               string, {@code *} for an array
 * @param text   the line after its type character, without the line end
 * @param length bytes of a bulk string or elements of an array; {@link #NULL_LENGTH} for the null
 *               string and the null array, and 0 for a value of one line
 */
record RespHeader(char type, String text, int length) {
  /** The length that marks a null string or a null array. */
  static final int NULL_LENGTH = -1;
  /** Far longer than any error text or number of the protocol. */
  static final int MAX_LINE_BYTES = 1024;
  /** The longest bulk string that the protocol allows. */
  private static final int MAX_VALUE_BYTES = 64 * 1024;
  /** One value of maximum length, and eight lines for the other values. */
  static final int MAX_MESSAGE_BYTES = MAX_VALUE_BYTES + 8 * MAX_LINE_BYTES;
  /** Commands have at most five values, replies at most three. */
  private static final int MAX_ARRAY_VALUES = 16;

  /**
   * Parses a value's first line, given without its line end.
   *
   * @throws FramingException if it starts no RESP2 value, or its length exceeds a limit
   */
  static RespHeader parse(String line) throws FramingException {
    if (line.isEmpty()) throw noValue("an empty line");
    char type = line.charAt(0);
    String text = line.substring(1);
    return switch (type) {
      case '+', '-', ':' -> new RespHeader(type, text, 0);
      case '$' -> new RespHeader(type, text, parseLength(text, MAX_VALUE_BYTES, "bytes"));
      case '*' -> new RespHeader(type, text, parseLength(text, MAX_ARRAY_VALUES, "values"));
      default -> throw noValue("byte 0x" + Integer.toHexString(type));
    };
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

  /** Returns the error for a line without an end. */
  static FramingException lineTooLong() {
    return new FramingException("RESP2 line", "line too long", MAX_LINE_BYTES + " bytes");
  }

  /** Returns the error for a bulk string that is not followed by a line end. */
  static FramingException bulkWithoutEnd(String location) {
    return new FramingException("RESP2 bulk string, " + location, "bulk string without its end");
  }

  /** Returns the error for a message that exceeds {@link #MAX_MESSAGE_BYTES}. */
  static FramingException messageTooLong(int receivedBytes) {
    return new FramingException("RESP2 value, incomplete after " + receivedBytes + " bytes",
        "message too long", MAX_MESSAGE_BYTES + " bytes");
  }
}
