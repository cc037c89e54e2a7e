package saltlatch.node;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GatewayEvent;
import saltlatch.wire.discovery.EndpointList;

/**
 * Applies a large list or change in steps of at most
 * {@link EndpointListApplier#MAX_ENTRIES_PER_SLICE} entries. App servers that a snapshot omits are
 * removed first, then draining and removed ones are reported, then ready ones, so that no request
 * is sent to an app server that is going away while thousands of others are added. The policy
 * receives each step as a delta. Owned by the event loop.
 */
final class IncrementalListUpdate {
  private static final int MAX_ENTRIES_PER_STEP = EndpointListApplier.MAX_ENTRIES_PER_SLICE;

  /** The phases of the update, in their order. */
  private enum Phase {
    INDEX,
    REMOVE_OMITTED,
    NOT_READY,
    READY,
    DONE
  }

  private final EndpointList list;
  private final EndpointDirectory directory;
  private final Map<String, EndpointList.Entry> lastEntryByName = new LinkedHashMap<>();
  private Phase phase = Phase.INDEX;
  private int position; // next list entry or server ID to process
  private Iterator<EndpointList.Entry> entries;

  IncrementalListUpdate(EndpointList list, EndpointDirectory directory) {
    this.list = list;
    this.directory = directory;
  }

  boolean isDone() {
    return phase == Phase.DONE;
  }

  /**
   * Runs the next step, and returns its event for the policy or null if nothing changed.
   *
   * @throws IllegalStateException if the update is done
   */
  GatewayEvent.EndpointsUpdated step() {
    List<GatewayEvent.Endpoint> changed = new ArrayList<>();
    switch (phase) {
      case INDEX -> indexEntries();
      case REMOVE_OMITTED -> removeOmitted(changed);
      case NOT_READY -> updateEntries(false, changed);
      case READY -> updateEntries(true, changed);
      default -> throw new IllegalStateException("list " + list.index() + " is already applied");
    }
    return changed.isEmpty() ? null
        : new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.DELTA, changed);
  }

  private void indexEntries() {
    List<EndpointList.Entry> all = list.entries();
    int end = Math.min(all.size(), position + MAX_ENTRIES_PER_STEP);
    for (; position < end; position++) {
      lastEntryByName.put(all.get(position).name(), all.get(position));
    }
    if (position < all.size()) return;
    position = 0;
    entries = lastEntryByName.values().iterator();
    phase = list.snapshot() ? Phase.REMOVE_OMITTED : Phase.NOT_READY;
  }

  private void removeOmitted(List<GatewayEvent.Endpoint> changed) {
    int end = Math.min(directory.serverIdLimit(), position + MAX_ENTRIES_PER_STEP);
    for (; position < end; position++) {
      String name = directory.serverName(position);
      if (name != null && !lastEntryByName.containsKey(name) && directory.isListed(position)) {
        changed.add(directory.remove(position));
      }
    }
    if (position >= directory.serverIdLimit()) phase = Phase.NOT_READY;
  }

  private void updateEntries(boolean ready, List<GatewayEvent.Endpoint> changed) {
    for (int count = 0; count < MAX_ENTRIES_PER_STEP && entries.hasNext(); count++) {
      EndpointList.Entry entry = entries.next();
      if (ready == (entry.state() == GatewayEvent.EndpointState.READY)) {
        changed.add(directory.update(entry));
      }
    }
    if (entries.hasNext()) return;
    entries = lastEntryByName.values().iterator();
    phase = ready ? Phase.DONE : Phase.READY;
  }
}
