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
 * What nodes report to each other while the counter cannot take a call for each request, and what
 * they make of it.
 */
class QuotaGossipTest {
  private static final long SECOND = 10_000;
  private static final GatewaySettings.QuotaPlan PLAN = new GatewaySettings.QuotaPlan(1, 8, 0, 0, 0,
      1); // 1 unit a second, 8 at once

  /**
   * Sums go to the nodes of the customer's set alone, once a period, and only while and after the
   * counter is unhealthy.
   */
  @Test
  void sendsSumsToTheCustomersNodes() {
    QuotaGossip gossip = new QuotaGossip(1, 6, 40, 0);
    gossip.recordAdmitted(70, 7, 130, 0, 3, 2.5);
    assertEquals(Map.of(), gossip.dueMessages(SECOND));
    gossip.recordCounterUnhealthy(SECOND);
    gossip.recordAdmitted(70, 7, 130, 0, 3, 2.5);
    gossip.recordAdmitted(70, 7, 130, 0, 3, 4.5);
    Map<Integer, GossipMessage> messages = gossip.dueMessages(SECOND);
    assertEquals(List.of(2, 3, 5, 0), List.copyOf(messages.keySet()));
    // not of the set, but near: it gets a message without sums, so as not to look cut off
    assertEquals(List.of(), messages.get(3).usage());
    assertEquals(List.of(new GossipMessage.WindowUsage(7, 2, 4.5)),
        new QuotaGossip(2, 6, 40, 0).receive(SECOND, 1, messages.get(2)));
    gossip.recordAdmitted(70, 7, 130, 0, 3, 5);
    assertEquals(Map.of(), gossip.dueMessages(SECOND + 5_000));
    assertEquals(4, gossip.dueMessages(2 * SECOND).size());
    gossip.recordAdmitted(70, 7, 130, 0, 3, 6);
    assertEquals(Map.of(), gossip.dueMessages(9 * SECOND)); // the counter has been healthy for long
  }

  /**
   * A datagram holds what fits, the latest first; one of another form, cut short or from a stranger
   * reports nothing.
   */
  @Test
  void fillsDatagramsAndIgnoresMalformedOnes() {
    QuotaGossip gossip = new QuotaGossip(0, 2, 40, 0);
    gossip.recordCounterUnhealthy(0);
    for (int i = 0; i < 100; i++) gossip.recordAdmitted(i, i, 0, 0, 2, 1);
    byte[] datagram = GossipCodec.encode(gossip.dueMessages(SECOND).get(1));
    assertTrue(datagram.length <= QuotaGossip.MAX_DATAGRAM_BYTES && datagram.length > 250);
    QuotaGossip peer = new QuotaGossip(1, 2, 40, 0);
    peer.recordCounterUnhealthy(0);
    GossipMessage message = GossipCodec.decode(datagram);
    List<GossipMessage.WindowUsage> sums = peer.receive(SECOND, 0, message);
    assertEquals(new GossipMessage.WindowUsage(99, 0, 1), sums.get(0));
    assertEquals(36, sums.size());
    byte[] other = datagram.clone();
    other[0] = 0;
    for (byte[] bad : List.of(new byte[0], Arrays.copyOf(datagram, 12), other, new byte[300])) {
      assertEquals(null, GossipCodec.decode(bad));
    }
    QuotaGossip isolated = new QuotaGossip(1, 2, 40, 0);
    isolated.recordCounterUnhealthy(0);
    assertEquals(List.of(), isolated.receive(SECOND, -1, message));
    assertEquals(List.of(), isolated.receive(SECOND, 1, message));
    assertFalse(isolated.isUsageFresh(SECOND, 2));
    assertTrue(peer.isUsageFresh(SECOND, 2));
    assertFalse(peer.isUsageFresh(5 * SECOND, 2)); // silent for more than three periods
  }

  /** More nodes that share customers send less often: no node gets more than it takes in. */
  @Test
  void periodFollowsTheIntake() {
    QuotaGossip gossip = new QuotaGossip(0, 100, 40, 0);
    assertEquals(SECOND, gossip.periodTicks());
    gossip.recordAdmitted(1, 1, 0, 0, 40, 1);
    assertTrue(
        78 / (gossip.periodTicks() / SECOND) <= 40 * GossipSchedule.MAX_INTAKE_FRACTION + 0.01);
  }

  /**
   * A set so wide that telling each of its nodes costs more than a fiftieth of all worth is left to
   * shares.
   */
  @Test
  void doesNotReportOnWideSets() {
    QuotaGossip gossip = new QuotaGossip(0, 100, 40, 0.041);
    gossip.recordCounterUnhealthy(0);
    gossip.recordAdmitted(1, 1, 0, 0, 60, 1);
    assertEquals(Map.of(), gossip.dueMessages(SECOND));
    gossip.receive(SECOND, 1, new GossipMessage(List.of(), null));
    assertTrue(gossip.isUsageFresh(SECOND, 14));
    assertFalse(gossip.isUsageFresh(SECOND, 60));
    gossip.recordAdmitted(2, 2, 0, 0, 14, 1);
    assertEquals(13,
        gossip.dueMessages(3 * SECOND).values().stream().filter(w -> !w.usage().isEmpty()).count());
  }

  /**
   * Plays ten nodes of one customer without a counter; the units they admit, and those they reject
   * with capacity left.
   */
  private static double[] play(double intake, double requestsPerSecond, double lossRate) {
    SplittableRandom random = new SplittableRandom(5);
    int nodeCount = 10;
    List<QuotaGossip> gossips = new ArrayList<>();
    List<QuotaManager> trackers = new ArrayList<>();
    for (int i = 0; i < nodeCount; i++) {
      GatewaySettings site = DecisionTrace.settings(i, nodeCount, PLAN, false, false, i, intake);
      gossips.add(new QuotaGossip(i, nodeCount, intake, 0));
      trackers.add(new QuotaManager(0, site, gossips.get(i), new SplittableRandom(i)));
    }
    double availableUnits = PLAN.burstUnits();
    double admittedUnits = 0;
    double unitsBeyondQuota = 0;
    double rejectedWithCapacity = 0;
    for (long now = 0; now < 120 * SECOND; now += 200) {
      availableUnits = Math.min(PLAN.burstUnits(), availableUnits + 0.02 * PLAN.ratePerSecond());
      for (int i = 0; i < nodeCount; i++) {
        trackers.get(i).advanceTo(now);
        gossips.get(i).recordCounterUnhealthy(now);
        sendDueGossip(i, gossips.get(i), trackers, now, () -> random.nextDouble() < lossRate);
      }
      if (random.nextDouble() >= 0.02 * requestsPerSecond) continue;
      QuotaManager tracker = trackers.get(random.nextInt(nodeCount));
      CustomerQuota customer = tracker.customerFor(
          new GatewayEvent.RequestArrived(1, 0, 0, 9, 30_000, 2, nodeCount, 0, false, 0));
      QuotaWindow window = tracker.currentWindow(customer, false);
      if (tracker.hasLocalCapacity(customer, 2)) {
        tracker.recordAdmitted(window, 2);
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

  private static void sendDueGossip(int sender, QuotaGossip gossip, List<QuotaManager> trackers,
      long now, BooleanSupplier isLost) {
    for (Map.Entry<Integer, GossipMessage> message : gossip.dueMessages(now).entrySet()) {
      QuotaManager receiver = trackers.get(message.getKey());
      receiver.advanceTo(now);
      if (!isLost.getAsBoolean()) {
        receiver.applyGossip(new GatewayEvent.GossipReceived(sender, message.getValue()));
      }
    }
  }

  /**
   * A customer far within its quota is not rejected; one that asks four times as much gets it and a
   * third more at most.
   */
  @Test
  void tenNodesKeepAQuotaWithoutTheCounter() {
    double[] light = play(40, 0.35, 0.08);
    double[] onShares = play(0, 0.35, 0);
    assertTrue(light[2] <= 4 && onShares[2] > 4 * light[2],
        Arrays.toString(light) + Arrays.toString(onShares));
    double[] heavy = play(40, 2, 0.08);
    double quota = PLAN.burstUnits() + 120 * PLAN.ratePerSecond();
    assertTrue(heavy[0] - heavy[1] > 0.95 * quota && heavy[0] < 1.3 * quota,
        Arrays.toString(heavy));
    double[] heavyOnShares = play(0, 2, 0);
    assertTrue(heavyOnShares[0] - heavyOnShares[1] < 0.9 * quota, Arrays.toString(heavyOnShares));
  }

  /**
   * Without the counter a node rejects at once, and without a call, what its peers' sums leave no
   * capacity for.
   */
  @Test
  void peersSumsDecide() throws IOException {
    DecisionTrace t = new DecisionTrace(
        DecisionTrace.settings(7, 2, DecisionTrace.QUOTA, false, false, 0, 40));
    t.list("11/1", "12/1");
    for (int i = 1; i <= 3; i++) {
      t.arrive(i, 0, 1);
      t.now += 300;
      t.counterFails(AttemptOutcome.TIMED_OUT);
    }
    QuotaGossip peer = new QuotaGossip(1, 2, 40, 0);
    peer.recordCounterUnhealthy(t.now);
    peer.recordAdmitted(0, 9, t.now / 30_000, 0, 2, 1);
    t.say("peer 1 admitted 1 units of customer 9");
    t.deliver(new GatewayEvent.GossipReceived(1, peer.dueMessages(t.now).get(0)));
    t.arrive(4, 0, 1);
    t.counterFails(AttemptOutcome.TIMED_OUT);
    peer.recordAdmitted(0, 9, t.now / 30_000, 0, 2, 40);
    t.say("peer 1 admitted 40 units of customer 9");
    t.deliver(new GatewayEvent.GossipReceived(1, peer.dueMessages(t.now + SECOND).get(0)));
    t.arrive(5, 0, 1);
    t.advance(SECOND);
    t.matches("gossip");
  }

  /**
   * Nodes that know each other, the counter silent and no peer reporting: this one goes by its even
   * share while its lease runs, by the floor once it has run out by its own clock, and by more when
   * it takes over what one that left had.
   */
  @Test
  void sharesFollowTheLeases() throws IOException {
    DecisionTrace t = new DecisionTrace(DecisionTrace.settings(7, 2,
        new GatewaySettings.QuotaPlan(4, 20, 0, 0, 0, 1), false, false, 0, 40));
    t.list("11/1", "12/1");
    t.deliver(new GatewayEvent.MembershipChanged(
        List.of(GatewayEvent.MemberState.LIVE, GatewayEvent.MemberState.LIVE), t.now + 5 * SECOND,
        0, 2));
    for (int i = 1; i <= 3; i++) {
      t.arrive(i, 0, 1);
      t.now += 300;
      t.counterFails(AttemptOutcome.TIMED_OUT);
      t.endAttempt(i, 0, AttemptOutcome.SUCCEEDED, 0);
    }
    t.say("its share is half of 20 units, 3 of the whole are spent: 8.5 left, admits "
        + countAdmitted(t, 100));
    t.advance(6 * SECOND);
    t.say("the lease ran out: an eighth, 2.5 units, admits " + countAdmitted(t, 200));
    t.deliver(new GatewayEvent.MembershipChanged(
        List.of(GatewayEvent.MemberState.LIVE, GatewayEvent.MemberState.TAKEN_OVER),
        t.now + 99 * SECOND, t.now + 99 * SECOND, 2));
    t.say("takes over the other's share from its next request on, admits " + countAdmitted(t, 250));
    t.advance(20 * SECOND);
    t.say("takes over the other's share, 7 eighths: 17.5 units, admits " + countAdmitted(t, 300));
    t.matches("shares-follow-leases");
  }

  /** How many of twenty requests are admitted at one instant, each answered at once. */
  private static int countAdmitted(DecisionTrace t, int from) {
    int admitted = 0;
    for (int i = from; i < from + 20; i++) {
      t.muted = true;
      t.clientTimeoutTicks = 3_000_000;
      t.arrive(i, 0, 1);
      t.muted = false;
      if (t.wasAttempted(i)) {
        admitted++;
        t.muted = true;
        t.endAttempt(i, 0, AttemptOutcome.SUCCEEDED, 0);
      }
    }
    t.muted = false;
    return admitted;
  }
}
