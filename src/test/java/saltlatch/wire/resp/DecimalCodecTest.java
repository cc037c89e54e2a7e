package saltlatch.wire.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests parsing and formatting of the protocol's decimal numbers. */
class DecimalCodecTest {
  @Test
  void formatsFourDecimalPlacesOrNone() {
    assertEquals("0 -2.5000 4 0.0001 1000000000 0",
        DecimalCodec.format(0) + " " + DecimalCodec.format(-2.5) + " " + DecimalCodec.format(4)
            + " " + DecimalCodec.format(1e-4) + " " + DecimalCodec.format(1e9) + " "
            + DecimalCodec.format(-1e-9));
  }

  /** {@link Double#parseDouble} accepts names, hexadecimals and suffixes; the protocol does not. */
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
  void parsesUnsignedIntegersOnly() {
    assertEquals(480, DecimalCodec.parseDigits("480"));
    assertEquals(999_999_999_999_999L, DecimalCodec.parseDigits("999999999999999"));
    for (String text : new String[] {"", "+1", "-1", "1.0", "1000000000000000", "x"}) {
      assertEquals(-1, DecimalCodec.parseDigits(text), text);
    }
  }
}
