package saltlatch.node;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GatewayEvent;
import saltlatch.wire.discovery.DiscoveryClient;
import saltlatch.wire.discovery.EndpointList;

/**
 * A large list or change in steps that look at {@link DiscoveryClient#MAX_ENTRIES_PER_TURN} entries
 * at most: first what a whole list no longer names is removed, then drains and removals are told,
 * then the rest. The module is told all of it as changes.
 */
final class IncrementalListUpdate {
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
  // of each name, the last entry
  private final Map<String, EndpointList.Entry> latest = new LinkedHashMap<>();
  private Phase phase = Phase.INDEX;
  private int at; // of the phase's numbers or entries
  private Iterator<EndpointList.Entry> targets;

  IncrementalListUpdate(EndpointList list, EndpointDirectory directory) {
    this.list = list;
    this.directory = directory;
  }

  boolean isDone() {
    return phase == Phase.DONE;
  }

  /** Goes on by one slice; null where it has nothing to tell the module. */
  GatewayEvent.EndpointsUpdated step() {
    List<GatewayEvent.Endpoint> entries = new ArrayList<>();
    switch (phase) {
      case INDEX -> index();
      case REMOVE_UNNAMED -> removeUnnamed(entries);
      case NOT_READY -> take(false, entries);
      case READY -> take(true, entries);
      default -> throw new IllegalStateException("done");
    }
    return entries.isEmpty() ? null
        : new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.DELTA, entries);
  }

  private void index() {
    List<EndpointList.Entry> all = list.entries();
    int end = Math.min(all.size(), at + DiscoveryClient.MAX_ENTRIES_PER_TURN);
    for (; at < end; at++) latest.put(all.get(at).name(), all.get(at));
    if (at < all.size()) return;
    at = 0;
    targets = latest.values().iterator();
    phase = list.snapshot() ? Phase.REMOVE_UNNAMED : Phase.NOT_READY;
  }

  private void removeUnnamed(List<GatewayEvent.Endpoint> entries) {
    int end = Math.min(directory.numbers(), at + DiscoveryClient.MAX_ENTRIES_PER_TURN);
    for (; at < end; at++) {
      String name = directory.name(at);
      if (name != null && !latest.containsKey(name) && directory.isListed(at))
        entries.add(directory.remove(at));
    }
    if (at >= directory.numbers()) phase = Phase.NOT_READY;
  }

  private void take(boolean ready, List<GatewayEvent.Endpoint> entries) {
    for (int looked = 0; looked < DiscoveryClient.MAX_ENTRIES_PER_TURN
        && targets.hasNext(); looked++) {
      EndpointList.Entry target = targets.next();
      if (ready == (target.state() == GatewayEvent.EndpointState.READY))
        entries.add(directory.take(target));
    }
    if (targets.hasNext()) return;
    targets = latest.values().iterator();
    phase = ready ? Phase.DONE : Phase.READY;
  }
}
