package saltlatch.wire.resp;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/** Encodes RESP2 values for the codecs of clients and app servers. Has no state. */
public final class RespEncoder {
  /** Space for a bulk string's length and line ends. */
  private static final int BULK_FRAMING_BYTES = 16;
  private static final String LINE_END = "\r\n";

  private RespEncoder() {}

  /** Returns at least the size that a bulk string with this many bytes has when it is encoded. */
  public static int maxBulkBytes(int length) {
    return length + BULK_FRAMING_BYTES;
  }

  /** Returns one bulk string. */
  public static Buffer bulk(byte[] bytes) {
    Buffer out = Buffer.buffer(maxBulkBytes(bytes.length));
    appendBulk(out, bytes);
    return out;
  }

  /** Returns a line of this text, which starts with the type ({@code +} or {@code -}). */
  public static Buffer line(String text) {
    return Buffer.buffer((text + LINE_END).getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Appends the header line of an array that has this number of values. */
  public static void appendArrayHeader(Buffer out, int count) {
    out.appendString("*" + count + LINE_END);
  }

  /** Appends one bulk string, the concatenation of these parts. */
  public static void appendBulk(Buffer out, byte[]... parts) {
    int length = 0;
    for (byte[] part : parts) length += part.length;
    out.appendString("$" + length + LINE_END);
    for (byte[] part : parts) out.appendBytes(part);
    out.appendString(LINE_END);
  }
}
