package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewayEvent.EndpointState;

/** Tests how attempts are distributed over the app servers. */
class WeightedRoundRobinLoadBalancerTest {
  private final SplittableRandom random = new SplittableRandom(1);
  private final SlowStart slowStart = new SlowStart(PolicyFixtures.LIMITS, random);
  private final OutlierDetection outliers = new OutlierDetection();
  private final ServerList servers = new ServerList(slowStart, outliers, random);
  private final WeightedRoundRobinLoadBalancer balancer = new WeightedRoundRobinLoadBalancer(
      servers, slowStart, outliers);

  private ServerState choose() {
    return balancer.choose(PolicyFixtures.request(DecisionTrace.IDEMPOTENT), 0);
  }

  private List<Long> chooseRepeatedly(int count) {
    List<Long> chosen = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      chosen.add(choose().id);
    }
    return chosen;
  }

  private static long occurrencesOf(List<Long> chosen, long id) {
    return chosen.stream().filter(chosenId -> chosenId == id).count();
  }

  @Test
  void attemptsAreProportionalToTheWeights() {
    servers.update(PolicyFixtures.snapshot(PolicyFixtures.endpoint(1, EndpointState.READY, 1),
        PolicyFixtures.endpoint(2, EndpointState.READY, 3)), 0);
    List<Long> chosen = chooseRepeatedly(400);
    assertEquals(100, (float) occurrencesOf(chosen, 1), 1);
    assertEquals(300, (float) occurrencesOf(chosen, 2), 1);
  }

  /**
   * One failure makes a server 11 / 3 times as slow. Its weight is divided by the square of that.
   */
  @Test
  void slowServerGetsFewerAttempts() {
    servers.update(PolicyFixtures.readyServers(2), 0);
    servers.forEach(server -> {
      if (server.id == 0) {
        outliers.recordEnd(new Attempt(server, 0, 100), AttemptOutcome.SERVER_ERROR, 0);
      }
    });
    double expectedFraction = 1 / (1 + Math.pow(11 / 3.0, 2));
    assertEquals(1_000 * expectedFraction, (double) occurrencesOf(chooseRepeatedly(1_000), 0), 2);
  }

  /**
   * All attempts in flight are on a server that pauses. Guards against sending it more: the other
   * servers get its turns.
   */
  @Test
  void saturatedServerGetsNoAttempts() {
    servers.update(PolicyFixtures.readyServers(3), 0);
    servers.forEach(server -> server.inFlight = server.id == 1 ? 10 : 0);
    assertEquals(0, occurrencesOf(chooseRepeatedly(30), 1));
  }

  @Test
  void secondAttemptGoesToAnotherServer() {
    servers.update(PolicyFixtures.readyServers(2), 0);
    for (int i = 0; i < 10; i++) {
      RequestState request = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
      request.lastServer = balancer.choose(request, 0);
      request.attemptCount = 1;
      assertNotEquals(request.lastServer, balancer.choose(request, 0));
    }
  }

  @Test
  void drainingServersGetNoAttempts() {
    servers.update(PolicyFixtures.snapshot(PolicyFixtures.endpoint(1, EndpointState.DRAINING, 1)),
        0);
    assertNull(choose());
  }
}
