package saltlatch.wire.resp;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** One RESP2 value. */
public sealed interface RespValue {
  /** A simple string ({@code +}), an error ({@code -}) or a number ({@code :}). */
  record Line(char type, String text) implements RespValue {}

  /** Null bytes: the null bulk string. */
  record Bulk(byte[] bytes) implements RespValue {
    public String text() {
      return bytes == null ? "" : new String(bytes, StandardCharsets.ISO_8859_1);
    }
  }

  /** Null items: the null array. */
  record Array(List<RespValue> elements) implements RespValue {}

  static void bulk(Buffer out, byte[] bytes) {
    out.appendString("$" + bytes.length + "\r\n").appendBytes(bytes).appendString("\r\n");
  }
}
