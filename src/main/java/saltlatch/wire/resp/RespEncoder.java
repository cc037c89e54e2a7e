package saltlatch.wire.resp;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/** Encodes RESP2 values. Has no state; called by the codecs of clients and app servers. */
public final class RespEncoder {
  /** For a bulk string's length and line ends. */
  private static final int BULK_FRAMING_BYTES = 16;
  private static final String LINE_END = "\r\n";

  private RespEncoder() {}

  /** A bulk string alone. */
  public static Buffer bulk(byte[] bytes) {
    Buffer out = Buffer.buffer(bytes.length + BULK_FRAMING_BYTES);
    appendBulk(out, bytes);
    return out;
  }

  /** A line whose first character says what it is ({@code +}, {@code -}), without its end. */
  public static Buffer line(String text) {
    return Buffer.buffer((text + LINE_END).getBytes(StandardCharsets.ISO_8859_1));
  }

  /** The line in front of an array of so many values. */
  public static void appendArrayHeader(Buffer out, int count) {
    out.appendString("*" + count + LINE_END);
  }

  /** One bulk string, made of these parts in a row. */
  public static void appendBulk(Buffer out, byte[]... parts) {
    int length = 0;
    for (byte[] part : parts) length += part.length;
    out.appendString("$" + length + LINE_END);
    for (byte[] part : parts) out.appendBytes(part);
    out.appendString(LINE_END);
  }
}
