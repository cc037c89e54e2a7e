package saltlatch.wire.resp;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** One RESP2 value; immutable as long as no caller modifies a bulk string's bytes. */
public sealed interface RespValue {
  /**
   * A value that consists of one line.
   *
   * @param type {@code +} for a simple string, {@code -} for an error, {@code :} for a number
   * @param text the line after its type character, without the line end
   */
  record Line(char type, String text) implements RespValue {}

  /** A string of arbitrary bytes; compared by identity. */
  final class Bulk implements RespValue {
    private final byte[] bytes;

    /** Wraps the array without copying it; null creates the null bulk string. */
    public Bulk(byte[] bytes) {
      this.bytes = bytes;
    }

    /** Returns the content; null for the null bulk string. */
    public byte[] bytes() {
      return bytes;
    }

    /** Returns the content with one character per byte; empty for the null bulk string. */
    public String text() {
      return bytes == null ? "" : new String(bytes, StandardCharsets.ISO_8859_1);
    }
  }

  /**
   * A sequence of values.
   *
   * @param elements the values; null for the null array
   */
  record Array(List<RespValue> elements) implements RespValue {}

  /**
   * Stands for a message that was received completely but not kept, because the memory for
   * incomplete messages was used up.
   *
   * @param sizeBytes the message's length
   */
  record Discarded(int sizeBytes) implements RespValue {}
}
