package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.api.GatewayEvent.EndpointUpdateKind;

/** Tests which app servers the server list holds and counts after endpoint updates. */
class ServerListTest {
  private final SplittableRandom random = new SplittableRandom(1);
  private final ServerList servers = new ServerList(new SlowStart(PolicyFixtures.LIMITS, random),
      new OutlierDetection(), random);

  private List<Long> serverIds() {
    List<Long> ids = new ArrayList<>();
    servers.forEach(server -> ids.add(server.id));
    return ids;
  }

  @Test
  void snapshotRemovesUnlistedServers() {
    servers.update(PolicyFixtures.readyServers(3), 0);
    assertEquals(3, servers.readyServers());
    servers.update(PolicyFixtures.readyServers(2), 0);
    assertEquals(List.of(0L, 1L), serverIds());
    assertEquals(2, servers.readyServers());
  }

  @Test
  void deltaKeepsUnlistedServers() {
    servers.update(PolicyFixtures.readyServers(2), 0);
    servers.update(new GatewayEvent.EndpointsUpdated(EndpointUpdateKind.DELTA,
        List.of(PolicyFixtures.endpoint(0, EndpointState.REMOVED, 1))), 0);
    assertEquals(List.of(1L), serverIds());
  }

  /** A draining server stays in the list until no attempt is in flight on it. */
  @Test
  void drainingServerIsKeptWhileAttemptsAreInFlight() {
    servers.update(PolicyFixtures.readyServers(1), 0);
    servers.forEach(server -> server.inFlight = 1);
    servers.update(PolicyFixtures.snapshot(PolicyFixtures.endpoint(0, EndpointState.DRAINING, 1)),
        0);
    assertEquals(List.of(0L), serverIds());
    assertEquals(0, servers.readyServers());
    servers.forEach(server -> {
      server.inFlight = 0;
      servers.releaseIfUnused(server);
    });
    assertEquals(List.of(), serverIds());
  }

  /**
   * A server that warms up counts as the current fraction of its full capacity, which is a fifth at
   * its start.
   */
  @Test
  void startingServerCountsByItsCapacity() {
    long startedAtTicks = 1_000;
    servers.update(
        PolicyFixtures.snapshot(PolicyFixtures.endpoint(0, EndpointState.READY, 1),
            new GatewayEvent.Endpoint(1, startedAtTicks, 0, 1, EndpointState.READY, 1, 0)),
        startedAtTicks);
    assertEquals(2, servers.readyServers());
    assertEquals(1.2, servers.effectiveServers(), 1e-9);
    servers.recount(startedAtTicks + 100_000);
    assertEquals(2, servers.effectiveServers());
  }
}
