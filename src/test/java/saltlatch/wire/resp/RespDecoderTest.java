package saltlatch.wire.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;
import saltlatch.wire.FramingException;

/** A stream of bytes cut into values. */
class RespDecoderTest {
  /** Every byte comes on its own, and two messages behind one another. */
  @Test
  void messagesInPieces() throws FramingException {
    RespDecoder decoder = new RespDecoder();
    StringBuilder decoded = new StringBuilder();
    String text = "*3\r\n$2\r\nab\r\n$-1\r\n$4\r\nx=,y\r\n-BUSY\r\n";
    for (int i = 0; i < text.length(); i++) {
      decoder.feed(Buffer.buffer(text.substring(i, i + 1)));
      RespValue value = decoder.next();
      if (value instanceof RespValue.Array array) {
        decoded.append("array ");
        array.elements()
            .forEach(item -> decoded.append(((RespValue.Bulk) item).text()).append('|'));
      } else if (value instanceof RespValue.Line line) {
        decoded.append(' ').append(line.type()).append(line.text());
      }
    }
    assertEquals("array ab||x=,y| -BUSY", decoded.toString());
    assertEquals(true, decoder.isEmpty());
  }

  @Test
  void lostFraming() {
    String[] texts = {"GET / HTTP/1.1\r\n", "$5\r\nabcdefg\r\n", "*99\r\n", "$65537\r\n", "$x\r\n",
        "*1\r\n*1\r\n*1\r\n", "+" + "x".repeat(1100)};
    for (String text : texts) {
      assertThrows(FramingException.class, () -> RespText.decode(text), text);
    }
  }

  /** On-call reads what was wrong, where, and which limit was exceeded. */
  @Test
  void errorsSayWhatWhereAndWhichLimit() {
    assertEquals("RESP2 line: line too long (limit 1024 bytes)", error("+" + "x".repeat(1100)));
    assertEquals("RESP2 length: no length: 17 (limit 16 values)", error("*17\r\n"));
    assertEquals("RESP2 array: arrays too deep (limit 2 levels)", error("*1\r\n*1\r\n*1\r\n"));
    assertEquals("RESP2 value: no RESP2 value", error("nonsense\r\n"));
  }

  private static String error(String text) {
    return assertThrows(FramingException.class, () -> RespText.decode(text)).getMessage();
  }
}
