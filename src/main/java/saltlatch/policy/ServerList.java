package saltlatch.policy;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.api.GatewayEvent.EndpointUpdateKind;

/**
 * Holds the app servers of the endpoint list, and counts those that accept requests. A server that
 * drains or is removed from the list receives no new attempts from then on; its state is held while
 * attempts are in flight there.
 */
final class ServerList {
  private final SlowStart slowStart;
  private final OutlierDetection outliers;
  private final SplittableRandom random;
  private final SlotMap<ServerState> servers = new SlotMap<>();
  private double effectiveServers;
  private int readyServers;

  ServerList(SlowStart slowStart, OutlierDetection outliers, SplittableRandom random) {
    this.slowStart = slowStart;
    this.outliers = outliers;
    this.random = random;
  }

  void forEach(Consumer<ServerState> action) {
    servers.forEach(action);
  }

  /** Returns the number of servers that accept requests, as of the last {@link #recount}. */
  int readyServers() {
    return readyServers;
  }

  /** Returns the same number, in which a server that warms up counts by its capacity. */
  double effectiveServers() {
    return effectiveServers;
  }

  /** Applies a new list or changes to the list; the kind must not be FAILED. */
  void update(GatewayEvent.EndpointsUpdated update, long now) {
    if (update.kind() != EndpointUpdateKind.DELTA) {
      servers.forEach(server -> server.ready = false);
    }
    for (GatewayEvent.Endpoint endpoint : update.endpoints()) {
      update(endpoint, now);
    }
    servers.forEach(this::releaseIfUnused);
    recount(now);
  }

  private void update(GatewayEvent.Endpoint endpoint, long now) {
    ServerState server = servers.find(endpoint.serverId());
    boolean known = server != null;
    if (!known) {
      server = add(endpoint.serverId(), now);
    }
    boolean restarted = endpoint.startedAtTicks() != server.startedAtTicks;
    server.startedAtTicks = endpoint.startedAtTicks();
    if (restarted && known) {
      outliers.forget(server);
    }
    if (restarted && slowStart.isWarmingUp(server, now)) {
      slowStart.beginWarmUp(server, now);
    }
    server.zone = endpoint.zone();
    server.keyGroup = endpoint.keyGroup();
    server.weight = endpoint.weight();
    server.ready = endpoint.state() == EndpointState.READY;
  }

  private ServerState add(long serverId, long now) {
    ServerState server = servers.put(serverId, new ServerState(serverId));
    server.decayedAtTicks = now;
    // A random start prevents many nodes with few requests each from starting at the same servers.
    server.rotationCredit = random.nextDouble();
    return server;
  }

  /** Counts the servers that accept requests; called periodically as capacities change. */
  void recount(long now) {
    effectiveServers = 0;
    readyServers = 0;
    servers.forEach(server -> {
      readyServers += server.ready ? 1 : 0;
      effectiveServers += server.ready ? slowStart.capacity(server, now) : 0;
    });
  }

  /** Releases a server that accepts no requests and has no attempt in flight. */
  void releaseIfUnused(ServerState server) {
    if (!server.ready && server.inFlight == 0) {
      servers.release(server.id);
    }
  }
}
