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
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.wire.peer.GossipCodec;

/**
 * What nodes tell each other while the counter cannot take a call for each req, and what they make
 * of it.
 */
class QuotaGossipTest {
  private static final long SECOND = 10_000;
  private static final GatewaySettings.QuotaPlan PLAN = new GatewaySettings.QuotaPlan(1, 8, 0, 0, 0,
      1); // 1 unit a second, 8 at once

  /**
   * Sums go to the nodes of the customer's set alone, once a period, and only in and after a jam.
   */
  @Test
  void tellsTheCustomersNodes() {
    QuotaGossip g = new QuotaGossip(1, 6, 40, 0);
    g.recordAdmitted(70, 7, 130, 0, 3, 2.5);
    assertEquals(Map.of(), g.dueMessages(SECOND));
    g.counterUnhealthy(SECOND);
    g.recordAdmitted(70, 7, 130, 0, 3, 2.5);
    g.recordAdmitted(70, 7, 130, 0, 3, 4.5);
    Map<Integer, GossipMessage> told = g.dueMessages(SECOND);
    assertEquals(List.of(2, 3, 5, 0), List.copyOf(told.keySet()));
    // not of the set, but near: that nothing was passed for it is told as well
    assertEquals(List.of(), told.get(3).usage());
    assertEquals(List.of(new GossipMessage.WindowUsage(7, 2, 4.5)),
        new QuotaGossip(2, 6, 40, 0).receive(SECOND, 1, told.get(2)));
    g.recordAdmitted(70, 7, 130, 0, 3, 5);
    assertEquals(Map.of(), g.dueMessages(SECOND + 5_000));
    assertEquals(4, g.dueMessages(2 * SECOND).size());
    g.recordAdmitted(70, 7, 130, 0, 3, 6);
    assertEquals(Map.of(), g.dueMessages(9 * SECOND)); // the jam is over for long
  }

  /**
   * A datagram holds what fits, the latest first; one of another form, cut short or from a stranger
   * tells nothing.
   */
  @Test
  void datagramsOfAnotherForm() {
    QuotaGossip g = new QuotaGossip(0, 2, 40, 0);
    g.counterUnhealthy(0);
    for (int i = 0; i < 100; i++) g.recordAdmitted(i, i, 0, 0, 2, 1);
    byte[] words = GossipCodec.encode(g.dueMessages(SECOND).get(1));
    assertTrue(words.length <= QuotaGossip.MAX_DATAGRAM_BYTES && words.length > 250);
    QuotaGossip peer = new QuotaGossip(1, 2, 40, 0);
    peer.counterUnhealthy(0);
    GossipMessage told = GossipCodec.decode(words);
    List<GossipMessage.WindowUsage> sums = peer.receive(SECOND, 0, told);
    assertEquals(new GossipMessage.WindowUsage(99, 0, 1), sums.get(0));
    assertEquals(36, sums.size());
    byte[] other = words.clone();
    other[0] = 0;
    for (byte[] bad : List.of(new byte[0], Arrays.copyOf(words, 12), other, new byte[300])) {
      assertEquals(null, GossipCodec.decode(bad));
    }
    QuotaGossip deaf = new QuotaGossip(1, 2, 40, 0);
    deaf.counterUnhealthy(0);
    assertEquals(List.of(), deaf.receive(SECOND, -1, told));
    assertEquals(List.of(), deaf.receive(SECOND, 1, told));
    assertFalse(deaf.isUsageFresh(SECOND, 2));
    assertTrue(peer.isUsageFresh(SECOND, 2));
    assertFalse(peer.isUsageFresh(5 * SECOND, 2)); // silent for more than three periods
  }

  /** More nodes that share customers tell more seldom: no node is told more than it takes in. */
  @Test
  void periodFollowsTheIntake() {
    QuotaGossip g = new QuotaGossip(0, 100, 40, 0);
    assertEquals(SECOND, g.periodTicks());
    g.recordAdmitted(1, 1, 0, 0, 40, 1);
    assertTrue(78 / (g.periodTicks() / SECOND) <= 40 * GossipSchedule.MAX_INTAKE_FRACTION + 0.01);
  }

  /**
   * A set so wide that telling each of its nodes costs more than a fiftieth of all worth is left to
   * shares.
   */
  @Test
  void wideSetsAreNotTold() {
    QuotaGossip g = new QuotaGossip(0, 100, 40, 0.041);
    g.counterUnhealthy(0);
    g.recordAdmitted(1, 1, 0, 0, 60, 1);
    assertEquals(Map.of(), g.dueMessages(SECOND));
    g.receive(SECOND, 1, new GossipMessage(List.of(), null));
    assertTrue(g.isUsageFresh(SECOND, 14));
    assertFalse(g.isUsageFresh(SECOND, 60));
    g.recordAdmitted(2, 2, 0, 0, 14, 1);
    assertEquals(13,
        g.dueMessages(3 * SECOND).values().stream().filter(w -> !w.usage().isEmpty()).count());
  }

  /**
   * Plays ten nodes of one customer without a counter; the units they pass and the reqs they deny
   * with room left.
   */
  private static double[] play(double intake, double reqsPerSecond, double lost) {
    SplittableRandom chance = new SplittableRandom(5);
    int n = 10;
    List<QuotaGossip> gossips = new ArrayList<>();
    List<QuotaTracker> quotas = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      GatewaySettings site = DecisionTrace.settings(i, n, PLAN, false, false, i, intake);
      gossips.add(new QuotaGossip(i, n, intake, 0));
      quotas.add(new QuotaTracker(0, site, gossips.get(i), new SplittableRandom(i)));
    }
    double store = PLAN.burstUnits();
    double passed = 0;
    double beyond = 0;
    double withRoom = 0;
    for (long now = 0; now < 120 * SECOND; now += 200) {
      store = Math.min(PLAN.burstUnits(), store + 0.02 * PLAN.ratePerSecond());
      for (int i = 0; i < n; i++) {
        quotas.get(i).advanceTo(now);
        gossips.get(i).counterUnhealthy(now);
        for (Map.Entry<Integer, GossipMessage> m : gossips.get(i).dueMessages(now).entrySet()) {
          quotas.get(m.getKey()).advanceTo(now);
          if (chance.nextDouble() >= lost)
            quotas.get(m.getKey()).applyGossip(new GatewayEvent.GossipReceived(i, m.getValue()));
        }
      }
      if (chance.nextDouble() >= 0.02 * reqsPerSecond) continue;
      QuotaTracker q = quotas.get(chance.nextInt(n));
      CustomerQuota c = q
          .customerFor(new GatewayEvent.RequestArrived(1, 0, 0, 9, 30_000, 2, n, 0, false, 0));
      QuotaWindow w = q.currentWindow(c, false);
      if (q.hasLocalCapacity(c, 2)) {
        q.recordAdmitted(w, 2);
        c.admittedWithoutCounter += c.admittedWithoutCounter >= 0 ? 2 : 0;
        passed += 2;
        beyond += store < 2 ? 2 : 0;
        store -= store < 2 ? 0 : 2;
      } else if (store >= 2) {
        withRoom += 2;
      }
    }
    return new double[] {passed, beyond, withRoom};
  }

  /**
   * A customer far within its quota is not denied; one that asks four times as much gets it and a
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

  /** In a jam a node denies at once, and without a call, what its peers' sums leave no room for. */
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
    peer.counterUnhealthy(t.now);
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
   * Nodes that know each other, the counter silent and no peer heard: this one goes by its even
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
        + passed(t, 100));
    t.advance(6 * SECOND);
    t.say("the lease ran out: an eighth, 2.5 units, admits " + passed(t, 200));
    t.deliver(new GatewayEvent.MembershipChanged(
        List.of(GatewayEvent.MemberState.LIVE, GatewayEvent.MemberState.TAKEN_OVER),
        t.now + 99 * SECOND, t.now + 99 * SECOND, 2));
    t.say("takes over the other's share from its next request on, admits " + passed(t, 250));
    t.advance(20 * SECOND);
    t.say("takes over the other's share, 7 eighths: 17.5 units, admits " + passed(t, 300));
    t.matches("shares-follow-leases");
  }

  /** How many of twenty reqs pass at one instant, each answered at once. */
  private static int passed(DecisionTrace t, int from) {
    int passed = 0;
    for (int i = from; i < from + 20; i++) {
      t.muted = true;
      t.clientTimeoutTicks = 3_000_000;
      t.arrive(i, 0, 1);
      t.muted = false;
      if (t.wasAttempted(i)) {
        passed++;
        t.muted = true;
        t.endAttempt(i, 0, AttemptOutcome.SUCCEEDED, 0);
      }
    }
    t.muted = false;
    return passed;
  }
}
