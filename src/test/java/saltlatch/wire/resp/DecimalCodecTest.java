package saltlatch.wire.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Decimal numbers as the protocol has them. */
class DecimalCodecTest {
  @Test
  void formatsAmounts() {
    assertEquals("0 -2.5000 4 0.0001 1000000000 0",
        DecimalCodec.format(0) + " " + DecimalCodec.format(-2.5) + " " + DecimalCodec.format(4)
            + " " + DecimalCodec.format(1e-4) + " " + DecimalCodec.format(1e9) + " "
            + DecimalCodec.format(-1e-9));
  }

  /** Java's own reader takes names, hexadecimals and suffixes, which the protocol does not know. */
  @Test
  void parsesPlainDecimalsOnly() {
    assertEquals(-2.5, DecimalCodec.parse("-2.5"));
    assertEquals(1e9, DecimalCodec.parse("1e9"));
    for (String text : new String[] {"", "NaN", "Infinity", "0x1p1", "1d", "1f", " 1", "1e999", "-",
        "1-"}) {
      assertEquals(Double.NaN, DecimalCodec.parse(text), text);
    }
  }

  @Test
  void parsesWholeNumbersOfDigitsOnly() {
    assertEquals(480, DecimalCodec.parseDigits("480"));
    assertEquals(999_999_999_999_999L, DecimalCodec.parseDigits("999999999999999"));
    for (String text : new String[] {"", "+1", "-1", "1.0", "1000000000000000", "x"}) {
      assertEquals(-1, DecimalCodec.parseDigits(text), text);
    }
  }
}
