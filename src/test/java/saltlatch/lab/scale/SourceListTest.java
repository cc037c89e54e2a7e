package saltlatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks the simulated discovery server's list: the range of its log and the size of an entry. */
class SourceListTest {
  private static final int ENTRIES = 50;

  @Test
  void logHoldsExactlyTheNewestChanges() {
    SourceList list = new SourceList(ENTRIES, 1, 0);
    for (int i = 0; i < SourceList.LOG + 10; i++) list.nextChange();
    assertFalse(list.hasChangesSince(10));
    assertTrue(list.hasChangesSince(11));
    assertTrue(list.hasChangesSince(list.index()));
    assertFalse(list.hasChangesSince(list.index() + 1));
  }

  /** An entry must have about the size of the protocol page's example, 125 bytes. */
  @Test
  void entryHasTheSizeOfTheProtocolPagesExample() {
    int entries = 1_000;
    double bytesPerEntry = new SourceList(entries, 1, 0).snapshot().length() / (double) entries;
    assertEquals(125, bytesPerEntry, 10);
  }
}
