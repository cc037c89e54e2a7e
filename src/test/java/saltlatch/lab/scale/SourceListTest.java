package saltlatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The list of the stand-in for discovery: its log's reach, and the form of an entry. */
class SourceListTest {
  private static final int ENTRIES = 50;

  @Test
  void logReachesSoFarAndNoFarther() {
    SourceList list = new SourceList(ENTRIES, 1, 0);
    for (int i = 0; i < SourceList.LOG + 10; i++) list.nextChange();
    assertFalse(list.hasChangesSince(10));
    assertTrue(list.hasChangesSince(11));
    assertTrue(list.hasChangesSince(list.index()));
    assertFalse(list.hasChangesSince(list.index() + 1));
  }

  /** An entry of the protocol page's form, about 125 bytes. */
  @Test
  void entryIsOfTheSizeOfTheProtocolPage() {
    int entries = 1_000;
    double each = new SourceList(entries, 1, 0).snapshot().length() / (double) entries;
    assertEquals(125, each, 10);
  }
}
