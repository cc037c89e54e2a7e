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
 * Tests that a fleet enforces quotas in a deployment without a counter, even if a node's share is
 * only a small part of one request. Times are in ticks.
 */
class QuotaWithoutCounterTest {
  private static final GatewaySettings.QuotaPlan PLAN = new GatewaySettings.QuotaPlan(1, 5, 0, 0, 0,
      1);
  private static final int SECONDS = 60;
  private static final int DRAWS = 200;

  private static GatewaySettings settings(long seed, int nodes) {
    GatewaySettings.Limits limits = new GatewaySettings.Limits(false, true, 4, true, 10_000, true,
        100_000, 0.2, 4, 10_000);
    return new GatewaySettings(seed, nodes, 20, limits,
        new GatewaySettings.CounterSettings(false, false),
        new GatewaySettings.PeerSettings(0, 0, 0), List.of(DecisionTrace.IDEMPOTENT),
        List.of(PLAN));
  }

  private static CustomerQuota customer(QuotaManager quotas, int nodes) {
    return quotas
        .customerFor(new GatewayEvent.RequestArrived(0, 0, 0, 9, 30_000, 1, nodes, 0, false, 0));
  }

  /**
   * Returns the units of one customer that all nodes together admit in 60 s. Each node gets a
   * request of one unit every 2 s on average.
   */
  private static double simulateAdmittedUnits(int nodes, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    GatewaySettings settings = settings(seed, nodes);
    List<QuotaManager> managers = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      managers.add(new QuotaManager(0, settings, new QuotaGossip(i, nodes, 0, 0), random.split()));
    }
    double admittedUnits = 0;
    for (long now = 1_000; now <= SECONDS * 10_000L; now += 1_000) {
      for (QuotaManager manager : managers) {
        if (random.nextInt(20) > 0) {
          continue;
        }
        manager.advanceTo(now);
        CustomerQuota customer = customer(manager, nodes);
        QuotaWindow window = manager.currentWindow(customer, false);
        if (!manager.hasLocalCapacity(customer, 1)) {
          continue;
        }
        manager.recordAdmitted(window, 1);
        admittedUnits++;
      }
    }
    return admittedUnits;
  }

  /**
   * Each node admits a whole request if any units of its share are left. Guards against so many
   * nodes that one request of each exceeds the quota, and against nodes that then admit much less
   * than the quota.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 6, 12, 30, 100})
  void fleetAdmitsTheQuotaAndNotMuchMore(int nodes) {
    double quotaUnits = PLAN.burstUnits() + PLAN.ratePerSecond() * SECONDS;
    // Two standard deviations of random arrivals, and 2 units.
    double maxUnits = quotaUnits + 2 * Math.sqrt(quotaUnits) + 2;
    double meanUnits = 0;
    int drawsAboveMaximum = 0;
    for (int seed = 0; seed < DRAWS; seed++) {
      double admittedUnits = simulateAdmittedUnits(nodes, seed);
      meanUnits += admittedUnits / DRAWS;
      if (admittedUnits > maxUnits) {
        drawsAboveMaximum++;
      }
    }
    assertTrue(drawsAboveMaximum <= DRAWS / 50, drawsAboveMaximum + " of " + DRAWS
        + " draws admitted more than " + maxUnits + " units; the mean is " + meanUnits);
    assertTrue(meanUnits > 0.75 * quotaUnits,
        "admitted a mean of " + meanUnits + " of " + quotaUnits + " units");
  }

  /**
   * A node without a counter starts its share at a random offset. The offset is not usage of the
   * quota. Guards against charging it as usage when peers start to report.
   */
  @Test
  void startOffsetIsNotChargedOncePeersReport() {
    int nodes = 100;
    QuotaGossip gossip = new QuotaGossip(0, nodes, 40, 0);
    QuotaManager quotas = new QuotaManager(0, settings(0, nodes), gossip, new SplittableRandom(1));
    quotas.advanceTo(1_000);
    CustomerQuota customer = customer(quotas, nodes);
    quotas.hasLocalCapacity(customer, 4);
    assertTrue(customer.availableUnits < PLAN.burstUnits() / nodes - 0.1,
        "no start offset was drawn: " + customer.availableUnits + " units available");
    gossip.recordCounterUnhealthy(1_000);
    gossip.receive(1_000, 1, new GossipMessage(List.of(), null));
    quotas.hasLocalCapacity(customer, 4);
    assertEquals(PLAN.burstUnits(), customer.availableUnits, 0.001);
  }
}
