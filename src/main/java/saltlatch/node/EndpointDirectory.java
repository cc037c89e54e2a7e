package saltlatch.node;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import saltlatch.api.GatewayEvent;
import saltlatch.state.NumberedNames;
import saltlatch.wire.appserver.AppServerClient;
import saltlatch.wire.discovery.DiscoveryClient;
import saltlatch.wire.discovery.EndpointList;

/**
 * The app servers that discovery has named: their names mapped to the small numbers the module
 * knows them by, and those off the list whose number is still held by a connection in use. Owned by
 * one event loop.
 */
final class EndpointDirectory {
  private final AppServerClient appServers;
  private final NumberedNames zones;
  private final NumberedNames types;
  private final NumberedNames names = new NumberedNames();
  private final List<GatewayEvent.Endpoint> entries = new ArrayList<>(); // as told last, by number
  // off the list, with something still out
  private final Set<Integer> leaving = new LinkedHashSet<>();

  EndpointDirectory(AppServerClient appServers, NumberedNames zones, NumberedNames types) {
    this.appServers = appServers;
    this.zones = zones;
    this.types = types;
  }

  /** The name that has this number, or null. */
  String name(int srv) {
    return names.name(srv);
  }

  /** One above the highest number given so far. */
  int numbers() {
    return entries.size();
  }

  /** Names that have a number, those off the list too. */
  int size() {
    return names.size();
  }

  boolean isListed(int srv) {
    return names.name(srv) != null && !leaving.contains(srv);
  }

  /** App servers now listed. */
  int listed() {
    return names.size() - leaving.size();
  }

  /** Takes a list or change in, and gives the module's event of it. */
  GatewayEvent.EndpointsUpdated take(EndpointList list, GatewayEvent.EndpointUpdateKind kind) {
    List<GatewayEvent.Endpoint> entries = new ArrayList<>();
    Set<Integer> named = new LinkedHashSet<>();
    for (EndpointList.Entry target : list.entries()) {
      GatewayEvent.Endpoint entry = take(target);
      entries.add(entry);
      named.add((int) entry.serverId());
    }
    if (list.snapshot()) names.forEachNumber(srv -> {
      if (!named.contains(srv)) leaving.add(srv);
    });
    return new GatewayEvent.EndpointsUpdated(kind, entries);
  }

  /** Takes one target in, and gives the module's entry of it. */
  GatewayEvent.Endpoint take(EndpointList.Entry target) {
    int srv = names.assign(target.name());
    if (target.address() != null) appServers.locate(srv, target.address());
    if (target.state() == GatewayEvent.EndpointState.REMOVED) leaving.add(srv);
    else leaving.remove(srv);
    GatewayEvent.Endpoint entry = new GatewayEvent.Endpoint(srv, target.startedAtMs() * 10,
        Math.max(0, zones.find(target.zone())), target.keyGroup(), target.state(), target.weight(),
        Math.max(0, types.find(target.machineType())));
    while (entries.size() <= srv) entries.add(null);
    entries.set(srv, entry);
    return entry;
  }

  /** Takes one off the list that a whole list no longer names: as told last, but gone. */
  GatewayEvent.Endpoint remove(int srv) {
    leaving.add(srv);
    GatewayEvent.Endpoint was = entries.get(srv);
    return new GatewayEvent.Endpoint(srv, was.startedAtTicks(), was.zone(), was.keyGroup(),
        GatewayEvent.EndpointState.REMOVED, was.weight(), was.machineType());
  }

  /**
   * Gives the numbers free of app servers that are gone and have nothing out any more, a slice at
   * once.
   */
  void release() {
    Iterator<Integer> each = leaving.iterator();
    for (int freed = 0; freed < DiscoveryClient.SLICE && each.hasNext();) {
      int srv = each.next();
      if (!appServers.forget(srv)) continue;
      names.release(srv);
      entries.set(srv, null);
      each.remove();
      freed++;
    }
  }
}
