package saltlatch.wire.resp;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** One RESP2 value; immutable but for a bulk string's bytes, which nobody writes to. */
public sealed interface RespValue {
  /**
   * A value of one line.
   *
   * @param type {@code +} for a simple string, {@code -} for an error, {@code :} for a number
   * @param text the line behind its type, without its end
   */
  record Line(char type, String text) implements RespValue {}

  /** A string of any bytes; compared by identity. */
  final class Bulk implements RespValue {
    private final byte[] bytes;

    /** Keeps the array; null: the null bulk string. */
    public Bulk(byte[] bytes) {
      this.bytes = bytes;
    }

    /** Its content; null: the null bulk string. */
    public byte[] bytes() {
      return bytes;
    }

    /** Its bytes as a character each; empty for the null bulk string. */
    public String text() {
      return bytes == null ? "" : new String(bytes, StandardCharsets.ISO_8859_1);
    }
  }

  /**
   * Several values in a row.
   *
   * @param elements the values; null: the null array
   */
  record Array(List<RespValue> elements) implements RespValue {}
}
