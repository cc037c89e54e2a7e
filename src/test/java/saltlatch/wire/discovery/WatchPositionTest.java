package saltlatch.wire.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.wire.discovery.WatchPosition.Verdict;

class WatchPositionTest {
  private final WatchPosition position = new WatchPosition(list(0, 3, true));

  private static EndpointList list(long series, long index, boolean snapshot) {
    return new EndpointList(series, index, snapshot, List.of());
  }

  private void assertPath(String query) {
    assertEquals("/api/targets?follow=1&" + query, position.requestPath());
  }

  /** A watch goes on behind what is applied, not behind what is only taken. */
  @Test
  void goesOnBehindWhatIsApplied() {
    assertPath("since=3");
    EndpointList change = list(0, 4, false);
    assertEquals(Verdict.TAKE, position.advanceTo(change));
    assertPath("since=3");
    position.applied(change);
    assertPath("since=4");
  }

  /** An agent that is behind sends an older list; taking it would undo drains. */
  @Test
  void olderEventsAreIgnored() {
    assertEquals(Verdict.OLD, position.advanceTo(list(0, 2, true)));
    assertEquals(Verdict.TAKE, position.advanceTo(list(0, 3, true)));
    assertEquals(Verdict.TAKE, position.advanceTo(list(9, 1, true)));
    assertEquals(Verdict.OLD, position.advanceTo(list(8, 50, true)));
  }

  /** Discovery has begun a new series: a change of it means nothing without its whole list. */
  @Test
  void unknownSeriesIsAskedForFromItsBeginning() {
    assertEquals(Verdict.UNKNOWN_SERIES, position.advanceTo(list(9, 7, false)));
    assertPath("since=0");
    EndpointList snapshot = list(9, 8, true);
    assertEquals(Verdict.TAKE, position.advanceTo(snapshot));
    position.applied(snapshot);
    assertPath("since=8&series=9");
  }
}
