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
 * Maps the app servers of the endpoint list to the small server IDs that the policy uses. An app
 * server that was removed from the list keeps its ID until none of its connections is in use;
 * otherwise a late reply would be attributed to the app server that receives the ID next. Owned by
 * the event loop.
 */
final class EndpointDirectory {
  private final AppServerClient appServers;
  private final NameIdTable zones;
  private final NameIdTable machineTypes;
  private final NameIdTable names = new NameIdTable();
  private final List<GatewayEvent.Endpoint> endpoints = new ArrayList<>(); // by ID
  private final Set<Integer> removedIds = new LinkedHashSet<>(); // IDs not yet released

  EndpointDirectory(AppServerClient appServers, NameIdTable zones, NameIdTable machineTypes) {
    this.appServers = appServers;
    this.zones = zones;
    this.machineTypes = machineTypes;
  }

  /** Returns the name of the app server with this ID, or null if the ID is not assigned. */
  String serverName(int serverId) {
    return names.name(serverId);
  }

  /** Returns the highest ID assigned so far, plus one. */
  int serverIdLimit() {
    return endpoints.size();
  }

  /** Returns how many IDs are assigned, including those of removed app servers. */
  int assignedCount() {
    return names.size();
  }

  /** Returns whether the app server with this ID is on the list. */
  boolean isListed(int serverId) {
    return names.name(serverId) != null && !removedIds.contains(serverId);
  }

  /** Returns how many app servers are on the list. */
  int listedCount() {
    return names.size() - removedIds.size();
  }

  /** Applies a complete list or change, and returns the event for the policy. */
  GatewayEvent.EndpointsUpdated update(EndpointList list, GatewayEvent.EndpointUpdateKind kind) {
    List<GatewayEvent.Endpoint> updated = new ArrayList<>();
    Set<Integer> listedIds = new LinkedHashSet<>();
    for (EndpointList.Entry entry : list.entries()) {
      GatewayEvent.Endpoint endpoint = update(entry);
      updated.add(endpoint);
      listedIds.add((int) endpoint.serverId());
    }
    if (list.snapshot()) {
      names.forEachNumber(serverId -> {
        if (!listedIds.contains(serverId)) removedIds.add(serverId);
      });
    }
    return new GatewayEvent.EndpointsUpdated(kind, updated);
  }

  /** Applies one entry, and returns the endpoint for the policy. */
  GatewayEvent.Endpoint update(EndpointList.Entry entry) {
    int serverId = names.assign(entry.name());
    if (entry.address() != null) appServers.setAddress(serverId, entry.address());
    if (entry.state() == GatewayEvent.EndpointState.REMOVED) removedIds.add(serverId);
    else removedIds.remove(serverId);
    GatewayEvent.Endpoint endpoint = new GatewayEvent.Endpoint(serverId,
        entry.startedAtMs() * Ticks.PER_MILLISECOND, Math.max(0, zones.find(entry.zone())),
        entry.keyGroup(), entry.state(), entry.weight(),
        Math.max(0, machineTypes.find(entry.machineType())));
    while (endpoints.size() <= serverId) endpoints.add(null);
    endpoints.set(serverId, endpoint);
    return endpoint;
  }

  /** Removes an app server that a snapshot omits, and returns the endpoint for the policy. */
  GatewayEvent.Endpoint remove(int serverId) {
    removedIds.add(serverId);
    GatewayEvent.Endpoint previous = endpoints.get(serverId);
    return new GatewayEvent.Endpoint(serverId, previous.startedAtTicks(), previous.zone(),
        previous.keyGroup(), GatewayEvent.EndpointState.REMOVED, previous.weight(),
        previous.machineType());
  }

  /**
   * Releases the IDs of removed app servers that are no longer in use, at most
   * {@link EndpointListApplier#MAX_ENTRIES_PER_SLICE} per call.
   */
  void releaseUnused() {
    Iterator<Integer> candidates = removedIds.iterator();
    int released = 0;
    while (released < EndpointListApplier.MAX_ENTRIES_PER_SLICE && candidates.hasNext()) {
      int serverId = candidates.next();
      if (!appServers.remove(serverId)) continue;
      names.release(serverId);
      endpoints.set(serverId, null);
      candidates.remove();
      released++;
    }
  }
}
