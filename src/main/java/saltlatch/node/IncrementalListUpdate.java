package saltlatch.node;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GatewayEvent;
import saltlatch.wire.discovery.EndpointList;

/**
 * A large list or change in steps of at most {@link EndpointListApplier#MAX_ENTRIES_PER_SLICE}
 * entries: first what a snapshot no longer names is removed, then what is draining or removed is
 * reported, then the rest, so that no request goes to an app server that is leaving while thousands
 * of others are taken in. The policy gets all of it as changes. Owned by the event loop.
 */
final class IncrementalListUpdate {
  private static final int MAX_ENTRIES_PER_STEP = EndpointListApplier.MAX_ENTRIES_PER_SLICE;

  /** What a step works on, in this order. */
  private enum Phase {
    INDEX,
    REMOVE_UNNAMED,
    NOT_READY,
    READY,
    DONE
  }

  private final EndpointList list;
  private final EndpointDirectory directory;
  private final Map<String, EndpointList.Entry> lastOfName = new LinkedHashMap<>();
  private Phase phase = Phase.INDEX;
  private int position; // among the list's entries, or the directory's numbers
  private Iterator<EndpointList.Entry> entries;

  IncrementalListUpdate(EndpointList list, EndpointDirectory directory) {
    this.list = list;
    this.directory = directory;
  }

  boolean isDone() {
    return phase == Phase.DONE;
  }

  /**
   * Takes the next step; null where it has nothing for the policy.
   *
   * @throws IllegalStateException if it is done
   */
  GatewayEvent.EndpointsUpdated step() {
    List<GatewayEvent.Endpoint> changed = new ArrayList<>();
    switch (phase) {
      case INDEX -> index();
      case REMOVE_UNNAMED -> removeUnnamed(changed);
      case NOT_READY -> update(false, changed);
      case READY -> update(true, changed);
      default -> throw new IllegalStateException("the list is applied");
    }
    return changed.isEmpty() ? null
        : new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.DELTA, changed);
  }

  private void index() {
    List<EndpointList.Entry> all = list.entries();
    int end = Math.min(all.size(), position + MAX_ENTRIES_PER_STEP);
    for (; position < end; position++) {
      lastOfName.put(all.get(position).name(), all.get(position));
    }
    if (position < all.size()) return;
    position = 0;
    entries = lastOfName.values().iterator();
    phase = list.snapshot() ? Phase.REMOVE_UNNAMED : Phase.NOT_READY;
  }

  private void removeUnnamed(List<GatewayEvent.Endpoint> changed) {
    int end = Math.min(directory.serverIdLimit(), position + MAX_ENTRIES_PER_STEP);
    for (; position < end; position++) {
      String name = directory.serverName(position);
      if (name != null && !lastOfName.containsKey(name) && directory.isListed(position)) {
        changed.add(directory.remove(position));
      }
    }
    if (position >= directory.serverIdLimit()) phase = Phase.NOT_READY;
  }

  private void update(boolean ready, List<GatewayEvent.Endpoint> changed) {
    for (int seen = 0; seen < MAX_ENTRIES_PER_STEP && entries.hasNext(); seen++) {
      EndpointList.Entry entry = entries.next();
      if (ready == (entry.state() == GatewayEvent.EndpointState.READY)) {
        changed.add(directory.update(entry));
      }
    }
    if (entries.hasNext()) return;
    entries = lastOfName.values().iterator();
    phase = ready ? Phase.DONE : Phase.READY;
  }
}
