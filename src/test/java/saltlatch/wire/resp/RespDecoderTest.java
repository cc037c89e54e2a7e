package saltlatch.wire.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;
import saltlatch.wire.FramingException;

/** Tests splitting a byte stream into RESP2 values. */
class RespDecoderTest {
  /** Two consecutive messages, received one byte at a time. */
  @Test
  void decodesMessagesReceivedByteByByte() throws FramingException {
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
  void rejectsBrokenFraming() {
    String[] texts = {"GET / HTTP/1.1\r\n", "$5\r\nabcdefg\r\n", "*99\r\n", "$65537\r\n", "$x\r\n",
        "*1\r\n*1\r\n*1\r\n", "+" + "x".repeat(1100)};
    for (String text : texts) {
      assertThrows(FramingException.class, () -> RespText.decode(text), text);
    }
  }

  /** The error messages contain the expected value, the value found and the limit. */
  @Test
  void errorMessagesContainCauseAndLimit() {
    assertEquals("RESP2 line: line too long (limit 1024 bytes)",
        errorMessage("+" + "x".repeat(1100)));
    assertEquals("RESP2 length, expected -1 to 16: no length: 17 (limit 16 values)",
        errorMessage("*17\r\n"));
    assertEquals("RESP2 array at level 3: arrays too deep (limit 2 levels)",
        errorMessage("*1\r\n*1\r\n*1\r\n"));
    assertEquals("RESP2 type, expected one of + - : $ *, found byte 0x6e: no RESP2 value",
        errorMessage("nonsense\r\n"));
  }

  private static String errorMessage(String text) {
    return assertThrows(FramingException.class, () -> RespText.decode(text)).getMessage();
  }
}
