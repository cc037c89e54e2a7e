package saltlatch.wire.resp;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import saltlatch.wire.ProtocolException;

/** RESP2 as text, for tests: written out by hand, and read with the decoder. */
public final class RespText {
  private RespText() {}

  /** An array of bulk strings, as a client writes a command. */
  public static String command(String... words) {
    StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      out.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return out.toString();
  }

  /** The words of a command once it has been decoded. */
  public static List<RespValue> commandWords(String... words) throws ProtocolException {
    return ((RespValue.Array) decode(command(words))).elements();
  }

  /** The first value in a text; null if it is not whole. */
  public static RespValue decode(String text) throws ProtocolException {
    RespDecoder decoder = new RespDecoder();
    decoder.feed(Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1)));
    return decoder.next();
  }
}
