package saltlatch.node;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import saltlatch.api.GatewayEvent;
import saltlatch.api.Ticks;
import saltlatch.state.NameIdTable;
import saltlatch.wire.appserver.AppServerClient;
import saltlatch.wire.discovery.EndpointList;

/**
 * The app servers that discovery has named, by the small numbers that the policy knows them by. One
 * that is off the list keeps its number until no connection of it is in use any more: else a late
 * answer would count for the app server that got the number next. Owned by the event loop.
 */
final class EndpointDirectory {
  private final AppServerClient appServers;
  private final NameIdTable zones;
  private final NameIdTable machineTypes;
  private final NameIdTable names = new NameIdTable();
  private final List<GatewayEvent.Endpoint> latest = new ArrayList<>(); // by number
  private final Set<Integer> removed = new LinkedHashSet<>(); // off the list, with a number

  EndpointDirectory(AppServerClient appServers, NameIdTable zones, NameIdTable machineTypes) {
    this.appServers = appServers;
    this.zones = zones;
    this.machineTypes = machineTypes;
  }

  /** The name that has this number, or null. */
  String serverName(int serverId) {
    return names.name(serverId);
  }

  /** One above the highest number assigned so far. */
  int serverIdLimit() {
    return latest.size();
  }

  /** Names that have a number, those off the list too. */
  int assignedCount() {
    return names.size();
  }

  /** Whether the app server with this number is on the list. */
  boolean isListed(int serverId) {
    return names.name(serverId) != null && !removed.contains(serverId);
  }

  /** App servers now listed. */
  int listedCount() {
    return names.size() - removed.size();
  }

  /** Takes in a list or change as a whole, and returns the policy's event for it. */
  GatewayEvent.EndpointsUpdated update(EndpointList list, GatewayEvent.EndpointUpdateKind kind) {
    List<GatewayEvent.Endpoint> endpoints = new ArrayList<>();
    Set<Integer> named = new LinkedHashSet<>();
    for (EndpointList.Entry entry : list.entries()) {
      GatewayEvent.Endpoint endpoint = update(entry);
      endpoints.add(endpoint);
      named.add((int) endpoint.serverId());
    }
    if (list.snapshot()) {
      names.forEachNumber(serverId -> {
        if (!named.contains(serverId)) removed.add(serverId);
      });
    }
    return new GatewayEvent.EndpointsUpdated(kind, endpoints);
  }

  /** Takes in one entry, and returns the policy's form of it. */
  GatewayEvent.Endpoint update(EndpointList.Entry entry) {
    int serverId = names.assign(entry.name());
    if (entry.address() != null) appServers.setAddress(serverId, entry.address());
    if (entry.state() == GatewayEvent.EndpointState.REMOVED) removed.add(serverId);
    else removed.remove(serverId);
    GatewayEvent.Endpoint endpoint = new GatewayEvent.Endpoint(serverId,
        entry.startedAtMs() * Ticks.PER_MILLISECOND, Math.max(0, zones.find(entry.zone())),
        entry.keyGroup(), entry.state(), entry.weight(),
        Math.max(0, machineTypes.find(entry.machineType())));
    while (latest.size() <= serverId) latest.add(null);
    latest.set(serverId, endpoint);
    return endpoint;
  }

  /** Takes one off the list that a snapshot does not name, and returns the policy's form of it. */
  GatewayEvent.Endpoint remove(int serverId) {
    removed.add(serverId);
    GatewayEvent.Endpoint last = latest.get(serverId);
    return new GatewayEvent.Endpoint(serverId, last.startedAtTicks(), last.zone(), last.keyGroup(),
        GatewayEvent.EndpointState.REMOVED, last.weight(), last.machineType());
  }

  /**
   * Frees the numbers of app servers that are off the list and no longer in use, as many at a time
   * as a list's slice has entries.
   */
  void releaseUnused() {
    Iterator<Integer> candidates = removed.iterator();
    int released = 0;
    while (released < EndpointListApplier.MAX_ENTRIES_PER_SLICE && candidates.hasNext()) {
      int serverId = candidates.next();
      if (!appServers.remove(serverId)) continue;
      names.release(serverId);
      latest.set(serverId, null);
      candidates.remove();
      released++;
    }
  }
}
