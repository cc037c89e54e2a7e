package saltlatch.wire.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import saltlatch.state.MemoryBudget;
import saltlatch.wire.FramingException;

/** Messages for which the shared budget has no memory are skipped; the stream stays readable. */
class DiscardedMessageTest {
  private static final String LONG = RespText.command("a", "b".repeat(20_000), "c");
  private static final String NEXT = "+next\r\n";

  private static Buffer buffer(String text) {
    return Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Feeds the text in pieces and returns what is decoded after each piece that completes one. */
  private static String decodeInPieces(RespDecoder decoder, String text, int pieceBytes)
      throws FramingException {
    StringBuilder decoded = new StringBuilder();
    for (int i = 0; i < text.length(); i += pieceBytes) {
      decoder.feed(buffer(text.substring(i, Math.min(text.length(), i + pieceBytes))));
      for (RespValue value = decoder.next(); value != null; value = decoder.next())
        decoded.append(value instanceof RespValue.Array ? "array" : value.toString()).append(' ');
    }
    return decoded.toString();
  }

  /** Whatever the pieces are, the next message is found behind a skipped one. */
  @Test
  void findsTheNextMessageBehindASkippedOne() throws FramingException {
    String skipped = "Discarded[sizeBytes=" + LONG.length() + "] Line[type=+, text=next] ";
    for (int pieceBytes : new int[] {1, 2, 7, 1_000, 19_999}) {
      RespDecoder decoder = new RespDecoder(new MemoryBudget(10_000));
      assertEquals(skipped, decodeInPieces(decoder, LONG + NEXT, pieceBytes));
      assertTrue(decoder.isEmpty());
    }
    String nested = "*3\r\n*2\r\n$-1\r\n$0\r\n\r\n$20000\r\n" + "x".repeat(20_000) + "\r\n*0\r\n";
    assertEquals("Discarded[sizeBytes=" + nested.length() + "] Line[type=+, text=next] ",
        decodeInPieces(new RespDecoder(new MemoryBudget(10_000)), nested + NEXT, 100));
  }

  /** A message is reserved while it is incomplete, however it arrives, and released after it. */
  @Test
  void reservesAnIncompleteMessage() throws FramingException {
    MemoryBudget budget = new MemoryBudget(20_000);
    RespDecoder first = new RespDecoder(budget);
    RespDecoder second = new RespDecoder(budget);
    first.feed(buffer(LONG.substring(0, 30)));
    assertNull(first.next());
    assertTrue(budget.reservedBytes() > 16_000, budget.reservedBytes() + " bytes");
    assertEquals("Discarded[sizeBytes=" + LONG.length() + "] ",
        decodeInPieces(second, LONG, 5_000));
    assertEquals("array ", decodeInPieces(first, LONG.substring(30), 5_000));
    assertEquals(0, budget.reservedBytes());
    assertEquals("array ", decodeInPieces(second, LONG, 5_000));
  }

  /** While a message is skipped the decoder isn't empty; closing releases what is reserved. */
  @Test
  void closingReleasesAnIncompleteMessage() throws FramingException {
    MemoryBudget budget = new MemoryBudget(20_000);
    RespDecoder decoder = new RespDecoder(budget);
    assertEquals("", decodeInPieces(decoder, LONG.substring(0, 9_000), 1_000));
    decoder.close();
    assertEquals(0, budget.reservedBytes());
    RespDecoder skipping = new RespDecoder(new MemoryBudget(0));
    assertEquals("", decodeInPieces(skipping, LONG.substring(0, 9_000), 1_000));
    assertFalse(skipping.isEmpty());
  }

  /** A skipped message is checked like any other one. */
  @Test
  void rejectsBrokenFramingInASkippedMessage() {
    String begin = "*3\r\n$20000\r\n" + "x".repeat(20_000);
    String[] texts = {begin + "xx\r\n", begin + "\r\nnonsense\r\n", begin + "\r\n$99999\r\n",
        begin + "\r\n+" + "x".repeat(1_100), begin + "\r\n$60000\r\n" + "x".repeat(60_000)};
    for (String text : texts) {
      assertThrows(FramingException.class,
          () -> decodeInPieces(new RespDecoder(new MemoryBudget(0)), text, 5_000));
    }
  }
}
