package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.wire.peer.GossipCodec;

/**
 * Tests which usage nodes report to each other while the counter cannot take a call for each
 * request, and how they decide by these reports. Times are in ticks.
 */
class QuotaGossipTest {
  private static final long TICKS_PER_SECOND = 10_000;
  private static final GatewaySettings.QuotaPlan PLAN = new GatewaySettings.QuotaPlan(1, 8, 0, 0, 0,
      1); // 1 unit per second, a burst of 8 units

  /**
   * Sums of admitted units are sent only to the nodes of the customer's set, once per period, while
   * the counter is unhealthy and for some periods after that.
   */
  @Test
  void sendsSumsOnlyToTheNodesOfTheCustomer() {
    QuotaGossip gossip = new QuotaGossip(1, 6, 40, 0);
    gossip.recordAdmitted(70, 7, 130, 0, 3, 2.5);
    assertEquals(Map.of(), gossip.dueMessages(TICKS_PER_SECOND));
    gossip.recordCounterUnhealthy(TICKS_PER_SECOND);
    gossip.recordAdmitted(70, 7, 130, 0, 3, 2.5);
    gossip.recordAdmitted(70, 7, 130, 0, 3, 4.5);
    Map<Integer, GossipMessage> messages = gossip.dueMessages(TICKS_PER_SECOND);
    assertEquals(List.of(2, 3, 5, 0), List.copyOf(messages.keySet()));
    // Node 3 is outside the customer's set but may share other customers with this node: it gets a
    // message without sums, so that this node does not look unreachable.
    assertEquals(List.of(), messages.get(3).usage());
    assertEquals(List.of(new GossipMessage.WindowUsage(7, 2, 4.5)),
        new QuotaGossip(2, 6, 40, 0).receive(TICKS_PER_SECOND, 1, messages.get(2)));
    gossip.recordAdmitted(70, 7, 130, 0, 3, 5);
    assertEquals(Map.of(), gossip.dueMessages(TICKS_PER_SECOND + 5_000));
    assertEquals(4, gossip.dueMessages(2 * TICKS_PER_SECOND).size());
    gossip.recordAdmitted(70, 7, 130, 0, 3, 6);
    // The counter was last unhealthy more than five periods ago.
    assertEquals(Map.of(), gossip.dueMessages(9 * TICKS_PER_SECOND));
  }

  /**
   * A datagram contains as many sums as fit, the latest first. A datagram of another format, a
   * truncated one or one from an unknown sender reports nothing.
   */
  @Test
  void fillsDatagramsAndIgnoresMalformedOnes() {
    QuotaGossip gossip = new QuotaGossip(0, 2, 40, 0);
    gossip.recordCounterUnhealthy(0);
    for (int customerId = 0; customerId < 100; customerId++) {
      gossip.recordAdmitted(customerId, customerId, 0, 0, 2, 1);
    }
    byte[] datagram = GossipCodec.encode(gossip.dueMessages(TICKS_PER_SECOND).get(1));
    assertTrue(datagram.length <= QuotaGossip.MAX_DATAGRAM_BYTES && datagram.length > 250);
    QuotaGossip peer = new QuotaGossip(1, 2, 40, 0);
    peer.recordCounterUnhealthy(0);
    GossipMessage message = GossipCodec.decode(datagram);
    List<GossipMessage.WindowUsage> sums = peer.receive(TICKS_PER_SECOND, 0, message);
    assertEquals(new GossipMessage.WindowUsage(99, 0, 1), sums.get(0));
    assertEquals(36, sums.size());
    byte[] otherFormat = datagram.clone();
    otherFormat[0] = 0;
    for (byte[] malformed : List.of(new byte[0], Arrays.copyOf(datagram, 12), otherFormat,
        new byte[300])) {
      assertEquals(null, GossipCodec.decode(malformed));
    }
    QuotaGossip nodeWithoutReports = new QuotaGossip(1, 2, 40, 0);
    nodeWithoutReports.recordCounterUnhealthy(0);
    assertEquals(List.of(), nodeWithoutReports.receive(TICKS_PER_SECOND, -1, message));
    assertEquals(List.of(), nodeWithoutReports.receive(TICKS_PER_SECOND, 1, message));
    assertFalse(nodeWithoutReports.isUsageFresh(TICKS_PER_SECOND, 2));
    assertTrue(peer.isUsageFresh(TICKS_PER_SECOND, 2));
    // No message has arrived for more than three periods.
    assertFalse(peer.isUsageFresh(5 * TICKS_PER_SECOND, 2));
  }

  /**
   * Guards against gossip that overloads its receivers: the more nodes share customers, the less
   * often each sends, so that no node receives more than half of the datagrams that it can take in.
   */
  @Test
  void periodIsLongEnoughForTheReceivers() {
    QuotaGossip gossip = new QuotaGossip(0, 100, 40, 0);
    assertEquals(TICKS_PER_SECOND, gossip.periodTicks());
    gossip.recordAdmitted(1, 1, 0, 0, 40, 1);
    assertTrue(
        78 / (gossip.periodTicks() / TICKS_PER_SECOND) <= 40 * GossipSchedule.MAX_INTAKE_FRACTION
            + 0.01);
  }

  /**
   * For a customer spread over so many nodes that reporting to each of them would cost more than a
   * fiftieth of the value of all requests, nodes report nothing and decide by their shares.
   */
  @Test
  void doesNotReportOnCustomersOfTooManyNodes() {
    QuotaGossip gossip = new QuotaGossip(0, 100, 40, 0.041);
    gossip.recordCounterUnhealthy(0);
    gossip.recordAdmitted(1, 1, 0, 0, 60, 1);
    assertEquals(Map.of(), gossip.dueMessages(TICKS_PER_SECOND));
    gossip.receive(TICKS_PER_SECOND, 1, new GossipMessage(List.of(), null));
    assertTrue(gossip.isUsageFresh(TICKS_PER_SECOND, 14));
    assertFalse(gossip.isUsageFresh(TICKS_PER_SECOND, 60));
    gossip.recordAdmitted(2, 2, 0, 0, 14, 1);
    assertEquals(13, gossip.dueMessages(3 * TICKS_PER_SECOND).values().stream()
        .filter(message -> !message.usage().isEmpty()).count());
  }

  /**
   * Simulates 120 s of ten nodes that get requests of 2 units from one customer, without a counter.
   *
   * @return the units admitted, those of them beyond the quota, and the units rejected although the
   *     quota had capacity
   */
  private static double[] simulate(double intakePerSecond, double requestsPerSecond,
      double lossRate) {
    SplittableRandom random = new SplittableRandom(5);
    int nodeCount = 10;
    List<QuotaGossip> gossips = new ArrayList<>();
    List<QuotaManager> managers = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      GatewaySettings settings = DecisionTrace.settings(i, nodeCount, PLAN, false, false, i,
          intakePerSecond);
      gossips.add(new QuotaGossip(i, nodeCount, intakePerSecond, 0));
      managers.add(new QuotaManager(0, settings, gossips.get(i), new SplittableRandom(i)));
    }
    double availableUnits = PLAN.burstUnits();
    double admittedUnits = 0;
    double unitsBeyondQuota = 0;
    double rejectedWithCapacity = 0;
    for (long now = 0; now < 120 * TICKS_PER_SECOND; now += 200) {
      availableUnits = Math.min(PLAN.burstUnits(), availableUnits + 0.02 * PLAN.ratePerSecond());
      for (int i = 0; i < nodeCount; i++) {
        managers.get(i).advanceTo(now);
        gossips.get(i).recordCounterUnhealthy(now);
        sendDueGossip(i, gossips.get(i), managers, now, () -> random.nextDouble() < lossRate);
      }
      if (random.nextDouble() >= 0.02 * requestsPerSecond) continue;
      QuotaManager manager = managers.get(random.nextInt(nodeCount));
      CustomerQuota customer = manager.customerFor(
          new GatewayEvent.RequestArrived(1, 0, 0, 9, 30_000, 2, nodeCount, 0, false, 0));
      QuotaWindow window = manager.currentWindow(customer, false);
      if (manager.hasLocalCapacity(customer, 2)) {
        manager.recordAdmitted(window, 2);
        customer.admittedOnFallbackShare += customer.admittedOnFallbackShare >= 0 ? 2 : 0;
        admittedUnits += 2;
        unitsBeyondQuota += availableUnits < 2 ? 2 : 0;
        availableUnits -= availableUnits < 2 ? 0 : 2;
      } else if (availableUnits >= 2) {
        rejectedWithCapacity += 2;
      }
    }
    return new double[] {admittedUnits, unitsBeyondQuota, rejectedWithCapacity};
  }

  private static void sendDueGossip(int sender, QuotaGossip gossip, List<QuotaManager> managers,
      long now, BooleanSupplier isLost) {
    for (Map.Entry<Integer, GossipMessage> message : gossip.dueMessages(now).entrySet()) {
      QuotaManager receiver = managers.get(message.getKey());
      receiver.advanceTo(now);
      if (!isLost.getAsBoolean()) {
        receiver.applyGossip(new GatewayEvent.GossipReceived(sender, message.getValue()));
      }
    }
  }

  /**
   * Guards against shares of a quota that are too small for a request when the counter is
   * overloaded. With gossip, of which 8% is lost, at most two requests of a customer well within
   * its quota may be rejected. A customer that requests four times its quota must get more than
   * 0.95 and less than 1.3 times the quota. With shares alone, the former is rejected more than
   * four times as often and the latter gets less than 0.9 times its quota.
   */
  @Test
  void gossipOfTenNodesEnforcesAQuotaWithoutTheCounter() {
    double[] lowRate = simulate(40, 0.35, 0.08);
    double[] lowRateOnShares = simulate(0, 0.35, 0);
    assertTrue(lowRate[2] <= 4 && lowRateOnShares[2] > 4 * lowRate[2],
        Arrays.toString(lowRate) + Arrays.toString(lowRateOnShares));
    double[] highRate = simulate(40, 2, 0.08);
    double quotaUnits = PLAN.burstUnits() + 120 * PLAN.ratePerSecond();
    assertTrue(highRate[0] - highRate[1] > 0.95 * quotaUnits && highRate[0] < 1.3 * quotaUnits,
        Arrays.toString(highRate));
    double[] highRateOnShares = simulate(0, 2, 0);
    assertTrue(highRateOnShares[0] - highRateOnShares[1] < 0.9 * quotaUnits,
        Arrays.toString(highRateOnShares));
  }

  /**
   * While the counter does not reply, a node rejects a request immediately and without a counter
   * call if its peers' sums leave no capacity for it.
   */
  @Test
  void sumsOfPeersDecideWithoutTheCounter() throws IOException {
    DecisionTrace trace = new DecisionTrace(
        DecisionTrace.settings(7, 2, DecisionTrace.QUOTA, false, false, 0, 40));
    trace.updateServerList("11/1", "12/1");
    for (int requestId = 1; requestId <= 3; requestId++) {
      trace.requestArrives(requestId, 0, 1);
      trace.now += 300;
      trace.counterFails(AttemptOutcome.TIMED_OUT);
    }
    QuotaGossip peer = new QuotaGossip(1, 2, 40, 0);
    peer.recordCounterUnhealthy(trace.now);
    peer.recordAdmitted(0, 9, trace.now / 30_000, 0, 2, 1);
    trace.addLine("peer 1 admitted 1 units of customer 9");
    trace.deliver(new GatewayEvent.GossipReceived(1, peer.dueMessages(trace.now).get(0)));
    trace.requestArrives(4, 0, 1);
    trace.counterFails(AttemptOutcome.TIMED_OUT);
    peer.recordAdmitted(0, 9, trace.now / 30_000, 0, 2, 40);
    trace.addLine("peer 1 admitted 40 units of customer 9");
    trace.deliver(
        new GatewayEvent.GossipReceived(1, peer.dueMessages(trace.now + TICKS_PER_SECOND).get(0)));
    trace.requestArrives(5, 0, 1);
    trace.advance(TICKS_PER_SECOND);
    trace.assertMatchesFile("gossip");
  }

  /**
   * With membership, and while neither the counter replies nor a peer reports, this node decides by
   * its share of the quota. The share is even while this node's lease is valid, and an eighth of
   * the quota after the lease has expired by this node's clock. It grows when this node takes over
   * the share of a node that has left.
   */
  @Test
  void sharesFollowTheLeases() throws IOException {
    DecisionTrace trace = new DecisionTrace(DecisionTrace.settings(7, 2,
        new GatewaySettings.QuotaPlan(4, 20, 0, 0, 0, 1), false, false, 0, 40));
    trace.updateServerList("11/1", "12/1");
    trace.deliver(new GatewayEvent.MembershipChanged(
        List.of(GatewayEvent.MemberState.LIVE, GatewayEvent.MemberState.LIVE),
        trace.now + 5 * TICKS_PER_SECOND, 0, 2));
    for (int requestId = 1; requestId <= 3; requestId++) {
      trace.requestArrives(requestId, 0, 1);
      trace.now += 300;
      trace.counterFails(AttemptOutcome.TIMED_OUT);
      trace.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED, 0);
    }
    trace.addLine("its share is half of 20 units, 3 of the whole are spent: 8.5 left, admits "
        + countAdmitted(trace, 100));
    trace.advance(6 * TICKS_PER_SECOND);
    trace.addLine("the lease ran out: an eighth, 2.5 units, admits " + countAdmitted(trace, 200));
    trace.deliver(new GatewayEvent.MembershipChanged(
        List.of(GatewayEvent.MemberState.LIVE, GatewayEvent.MemberState.TAKEN_OVER),
        trace.now + 99 * TICKS_PER_SECOND, trace.now + 99 * TICKS_PER_SECOND, 2));
    trace.addLine("takes over the other's share from its next request on, admits "
        + countAdmitted(trace, 250));
    trace.advance(20 * TICKS_PER_SECOND);
    trace.addLine(
        "takes over the other's share, 7 eighths: 17.5 units, admits " + countAdmitted(trace, 300));
    trace.assertMatchesFile("shares-follow-leases");
  }

  /**
   * Sends twenty requests at the current time, each of which is answered immediately if admitted.
   *
   * @return how many of them are admitted
   */
  private static int countAdmitted(DecisionTrace trace, int firstRequestId) {
    int admitted = 0;
    for (int requestId = firstRequestId; requestId < firstRequestId + 20; requestId++) {
      trace.muted = true;
      trace.clientTimeoutTicks = 3_000_000;
      trace.requestArrives(requestId, 0, 1);
      trace.muted = false;
      if (trace.wasAttempted(requestId)) {
        admitted++;
        trace.muted = true;
        trace.endAttempt(requestId, 0, AttemptOutcome.SUCCEEDED, 0);
      }
    }
    trace.muted = false;
    return admitted;
  }
}
