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

  private void assertRequestQuery(String query) {
    assertEquals("/api/targets?follow=1&" + query, position.requestPath());
  }

  /** A watch resumes after the last event applied, not after one that is only accepted. */
  @Test
  void resumesAfterTheLastAppliedEvent() {
    assertRequestQuery("since=3");
    EndpointList change = list(0, 4, false);
    assertEquals(Verdict.ACCEPT, position.advanceTo(change));
    assertRequestQuery("since=3");
    position.applied(change);
    assertRequestQuery("since=4");
  }

  /** Guards against undoing drains by accepting an older list from an agent that is out of date. */
  @Test
  void olderEventsAreStale() {
    assertEquals(Verdict.STALE, position.advanceTo(list(0, 2, true)));
    assertEquals(Verdict.ACCEPT, position.advanceTo(list(0, 3, true)));
    assertEquals(Verdict.ACCEPT, position.advanceTo(list(9, 1, true)));
    assertEquals(Verdict.STALE, position.advanceTo(list(8, 50, true)));
  }

  /** Discovery has started a new series, whose changes are meaningless without its snapshot. */
  @Test
  void unknownSeriesIsRequestedFromItsSnapshot() {
    assertEquals(Verdict.UNKNOWN_SERIES, position.advanceTo(list(9, 7, false)));
    assertRequestQuery("since=0");
    EndpointList snapshot = list(9, 8, true);
    assertEquals(Verdict.ACCEPT, position.advanceTo(snapshot));
    position.applied(snapshot);
    assertRequestQuery("since=8&series=9");
  }
}
