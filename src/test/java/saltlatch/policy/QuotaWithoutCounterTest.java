package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;

/**
 * Quotas of a deployment that has no counter hold for the fleet, also where a node's share is a
 * small part of one request.
 */
class QuotaWithoutCounterTest {
  private static final GatewaySettings.QuotaPlan PLAN = new GatewaySettings.QuotaPlan(1, 5, 0, 0, 0,
      1);
  private static final int SECONDS = 60;
  private static final int DRAWS = 200;

  private static GatewaySettings site(long seed, int nodes) {
    GatewaySettings.Limits rules = new GatewaySettings.Limits(false, true, 4, true, 10_000, true,
        100_000, 0.2, 4, 10_000);
    return new GatewaySettings(seed, nodes, 20, rules,
        new GatewaySettings.CounterSettings(false, false),
        new GatewaySettings.PeerSettings(0, 0, 0), List.of(DecisionTrace.IDEMPOTENT),
        List.of(PLAN));
  }

  private static CustomerQuota customer(QuotaManager quotas, int nodes) {
    return quotas
        .customerFor(new GatewayEvent.RequestArrived(0, 0, 0, 9, 30_000, 1, nodes, 0, false, 0));
  }

  /** Units admitted of one customer by all nodes together, each asked about every other second. */
  private static double play(int nodes, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    GatewaySettings site = site(seed, nodes);
    List<QuotaManager> trackers = new ArrayList<>();
    for (int i = 0; i < nodes; i++)
      trackers.add(new QuotaManager(0, site, new QuotaGossip(i, nodes, 0, 0), random.split()));
    double admittedUnits = 0;
    for (long now = 1_000; now <= SECONDS * 10_000L; now += 1_000) {
      for (QuotaManager tracker : trackers) {
        if (random.nextInt(20) > 0) continue;
        tracker.advanceTo(now);
        CustomerQuota customer = customer(tracker, nodes);
        QuotaWindow window = tracker.currentWindow(customer, false);
        if (!tracker.hasLocalCapacity(customer, 1)) continue;
        tracker.recordAdmitted(window, 1);
        admittedUnits++;
      }
    }
    return admittedUnits;
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 6, 12, 30, 100})
  void fleetAdmitsWhatItsSharesHold(int nodes) {
    double quota = PLAN.burstUnits() + PLAN.ratePerSecond() * SECONDS;
    double bound = quota + 2 * Math.sqrt(quota) + 2; // that much is chance
    double sum = 0;
    int beyond = 0;
    for (int seed = 0; seed < DRAWS; seed++) {
      double admittedUnits = play(nodes, seed);
      sum += admittedUnits / DRAWS;
      if (admittedUnits > bound) beyond++;
    }
    assertTrue(beyond <= DRAWS / 50,
        beyond + " of " + DRAWS + " draws beyond " + bound + ", " + sum + " on average");
    assertTrue(sum > 0.75 * quota, sum + " of " + quota);
  }

  /**
   * Where a node began on the way to its next request is no use of the quota: it is not charged
   * once peers report.
   */
  @Test
  void startOffsetIsNotChargedOncePeersReport() {
    int nodes = 100;
    QuotaGossip gossip = new QuotaGossip(0, nodes, 40, 0);
    QuotaManager quotas = new QuotaManager(0, site(0, nodes), gossip, new SplittableRandom(1));
    quotas.advanceTo(1_000);
    CustomerQuota c = customer(quotas, nodes);
    quotas.hasLocalCapacity(c, 4);
    assertTrue(c.availableUnits < PLAN.burstUnits() / nodes - 0.1,
        c.availableUnits + " units, none drawn");
    gossip.recordCounterUnhealthy(1_000);
    gossip.receive(1_000, 1, new GossipMessage(List.of(), null));
    quotas.hasLocalCapacity(c, 4);
    assertEquals(PLAN.burstUnits(), c.availableUnits, 0.001);
  }
}
