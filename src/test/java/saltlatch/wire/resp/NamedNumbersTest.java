package saltlatch.wire.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests finding numbers by name in load reports. */
class NamedNumbersTest {
  @Test
  void findsNumbersByTheirFullName() {
    String text = "inflight=7,queue=2,util=0.61,in=3,empty=";
    assertEquals(7, NamedNumbers.find(text, "inflight"));
    assertEquals(0.61, NamedNumbers.find(text, "util"));
    assertEquals(3, NamedNumbers.find(text, "in"));
    assertEquals(0, NamedNumbers.find(text, "que"));
    assertEquals(0, NamedNumbers.find(text, "empty"));
    assertEquals(0, NamedNumbers.find("", "inflight"));
  }

  /** An invalid number is treated as unknown, so that no decision is based on it. */
  @Test
  void invalidNumbersAreZero() {
    for (String number : new String[] {"-1", "1e9", "NaN", "1e999", "x", "0x1"}) {
      assertEquals(0, NamedNumbers.find("util=" + number, "util"), number);
    }
  }
}
