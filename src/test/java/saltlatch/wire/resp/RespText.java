package saltlatch.wire.resp;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import saltlatch.wire.ProtocolException;

/** Writes RESP2 texts independently of the encoder, and decodes them, for tests. */
public final class RespText {
  private RespText() {}

  /** Returns an array of bulk strings, the form in which a client sends a command. */
  public static String command(String... words) {
    StringBuilder out = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      out.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return out.toString();
  }

  /** Returns the decoded words of a command. */
  public static List<RespValue> commandWords(String... words) throws ProtocolException {
    return ((RespValue.Array) decode(command(words))).elements();
  }

  /** Returns the first value in a text; null if it is incomplete. */
  public static RespValue decode(String text) throws ProtocolException {
    RespDecoder decoder = new RespDecoder();
    decoder.feed(Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1)));
    return decoder.next();
  }
}
