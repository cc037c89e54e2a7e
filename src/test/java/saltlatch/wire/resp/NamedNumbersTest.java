package saltlatch.wire.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Figures by name in load reports. */
class NamedNumbersTest {
  @Test
  void findsFiguresByTheirWholeName() {
    String text = "inflight=7,queue=2,util=0.61,in=3,empty=";
    assertEquals(7, NamedNumbers.find(text, "inflight"));
    assertEquals(0.61, NamedNumbers.find(text, "util"));
    assertEquals(3, NamedNumbers.find(text, "in"));
    assertEquals(0, NamedNumbers.find(text, "que"));
    assertEquals(0, NamedNumbers.find(text, "empty"));
    assertEquals(0, NamedNumbers.find("", "inflight"));
  }

  /** A figure that can't be right says nothing, rather than drive decisions. */
  @Test
  void figuresOutOfRangeAreNotSaid() {
    for (String figure : new String[] {"-1", "1e9", "NaN", "1e999", "x", "0x1"}) {
      assertEquals(0, NamedNumbers.find("util=" + figure, "util"), figure);
    }
  }
}
