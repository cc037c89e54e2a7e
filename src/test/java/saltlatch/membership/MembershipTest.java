package saltlatch.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import saltlatch.membership.MembershipMessage.Kind;
import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;
import saltlatch.wire.peer.MembershipCodec;

/**
 * Membership as a model in virtual time: deterministic, every fault caused, every stated time held.
 */
class MembershipTest {
  private static Fleet joined(int n, long seed) {
    Fleet f = new Fleet(n, seed);
    assertTrue(f.until(f::agree, f.terms.convergenceTicks()) >= 0,
        n + " members did not find each other");
    return f;
  }

  @Test
  void oneSeedOneHistory() {
    String[] histories = new String[2];
    for (int i = 0; i < 2; i++) {
      Fleet f = joined(9, 4);
      f.loss = 0.2;
      f.dead[3] = true;
      f.pass(60 * Fleet.SECOND);
      histories[i] = f.history.toString();
    }
    assertEquals(histories[0], histories[1]);
  }

  @Test
  void deadMemberIsFailedAndComesBackUnderItsName() {
    Fleet f = joined(7, 1);
    f.dead[2] = true;
    assertTrue(f.until(() -> f.allSee(2, State.FAILED), f.terms.failureDetectionTicks()) > 0);
    f.start(2);
    assertTrue(f.until(f::agree, f.terms.convergenceTicks()) >= 0, "back, and held alive by all");
    assertTrue(f.members[0].incarnation(2) > 1);
  }

  /**
   * Killed, and back at once: nobody had noticed, and the old process' incarnation does not come
   * back.
   */
  @Test
  void backAtOnce() {
    Fleet f = joined(5, 2);
    f.pass(Fleet.SECOND);
    long old = f.members[1].incarnation(4);
    f.start(4);
    f.pass(f.terms.convergenceTicks());
    assertTrue(f.agree() && f.members[1].incarnation(4) > old);
    assertEquals(0, f.falseFailures);
  }

  @Test
  void sevenInTenKilledAtOnce() {
    Fleet f = joined(20, 3);
    for (int i = 0; i < 14; i++) f.dead[i] = true;
    assertTrue(f.until(f::agree, f.terms.failureDetectionTicks()) > 0);
    assertEquals(6, f.members[19].liveCount());
  }

  /**
   * Stopped for longer than any suspicion: it blames nobody on waking, and is held alive again
   * within T2.
   */
  @Test
  void pausedMemberSuspectsNobody() {
    Fleet f = joined(8, 5);
    f.paused[1] = true;
    f.pass(2 * f.terms.failureDetectionTicks());
    assertTrue(f.allSee(1, State.FAILED));
    int before = f.falseFailures;
    f.resume(1);
    assertTrue(f.until(f::agree, f.terms.falseFailureTicks()) >= 0);
    f.pass(f.terms.failureDetectionTicks());
    assertEquals(before, f.falseFailures, "on waking it held others failed, or others it");
  }

  @Test
  void plannedLeaveIsDisseminated() {
    Fleet f = joined(12, 6);
    f.members[5].leave();
    f.pass(Fleet.SECOND);
    f.dead[5] = true;
    assertTrue(f.until(() -> f.allSee(5, State.LEFT), 10 * Fleet.SECOND) >= 0);
    f.start(5);
    assertTrue(f.until(f::agree, f.terms.convergenceTicks()) >= 0);
  }

  /**
   * Majority and minority, then equal halves: each side sees itself whole, and all agree within T3
   * of the heal.
   */
  @Test
  void splitsHeal() {
    Fleet f = joined(10, 7);
    for (int cut : new int[] {3, 5}) {
      f.reach = (a, b) -> a < cut == b < cut;
      f.pass(f.terms.failureDetectionTicks());
      assertEquals(cut, f.members[0].liveCount());
      assertEquals(10 - cut, f.members[9].liveCount());
      f.reach = (a, b) -> true;
      assertTrue(f.until(f::agree, f.terms.convergenceTicks()) >= 0,
          "sides of " + cut + " did not agree again");
    }
  }

  /** Nobody returns in a herd: after a heal datagrams go out as evenly as before. */
  @Test
  void noThunderingReturn() {
    Fleet f = joined(40, 15);
    f.burst = 0;
    f.pass(30 * Fleet.SECOND);
    int calm = f.burst;
    f.reach = (a, b) -> a < 20 == b < 20;
    f.pass(f.terms.failureDetectionTicks());
    f.reach = (a, b) -> true;
    f.burst = 0;
    f.pass(f.terms.convergenceTicks());
    assertTrue(f.agree() && f.burst <= 3 * calm,
        f.burst + " at once after the heal, " + calm + " before");
  }

  /**
   * One way: member 0 receives from member 1 and cannot reach it. Others vouch for both: nobody is
   * failed.
   */
  @Test
  void oneWayCutAndBridgeFailNobody() {
    Fleet f = joined(6, 8);
    f.reach = (a, b) -> !(a == 0 && b == 1);
    f.pass(120 * Fleet.SECOND);
    assertTrue(f.agree(), "a one-way cut between two failed someone");
    // member 2 reaches both sides, which don't reach each other
    f.reach = (a, b) -> a == 2 || b == 2 || a < 2 == b < 2;
    f.pass(120 * Fleet.SECOND);
    f.reach = (a, b) -> true;
    assertTrue(f.until(f::agree, f.terms.convergenceTicks()) >= 0);
  }

  @Test
  void noFalseVerdictInTenMinutesAtTenPerCentLoss() {
    Fleet f = joined(20, 9);
    f.loss = 0.1;
    f.pass(600 * Fleet.SECOND);
    assertEquals(0, f.falseFailures);
  }

  /**
   * The cost for each member does not grow with the fleet, and stays under half of what a node
   * takes in.
   */
  @Test
  void costIsFlat() {
    for (int n : new int[] {5, 20, 100}) {
      Fleet f = joined(n, 10);
      long before = f.sent;
      f.loss = 0.1;
      f.pass(30 * Fleet.SECOND);
      double each = (f.sent - before) / 30.0 / n;
      assertTrue(each <= f.terms.datagramsPerSecond() && f.terms.datagramsPerSecond() <= 30.01,
          n + ": " + each);
    }
  }

  /**
   * Random kills, pauses, cuts and loss; after all is healed, views are equal within T3, and the
   * dead are failed.
   */
  @Property(tries = 12, seed = "31")
  void randomFaultsEndInAgreement(@ForAll @IntRange(min = 5, max = 30) int n,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    Fleet f = joined(n, seed);
    SplittableRandom chance = new SplittableRandom(seed);
    for (int i = 0; i < 6; i++) {
      f.loss = 0.3 * chance.nextDouble();
      int who = chance.nextInt(n);
      int cut = chance.nextInt(n);
      switch (chance.nextInt(3)) {
        case 0 -> f.dead[who] |= n - i > 4;
        case 1 -> f.paused[who] = !f.dead[who];
        default -> f.reach = (a, b) -> a < cut == b < cut;
      }
      f.pass(chance.nextInt(200_000));
      if (f.paused[who]) f.resume(who);
    }
    f.reach = (a, b) -> true;
    f.loss = 0.1;
    assertTrue(f.until(f::agree, f.terms.failureDetectionTicks() + f.terms.convergenceTicks()) >= 0,
        "no agreement after the heal");
    assertTrue(f.mostShared <= 1 + 1e-9, f.mostShared + " quotas in use");
  }

  /**
   * Kills, restarts, pauses, splits, one-way cuts and bridges that last as long as leases do:
   * shares never sum above 1.
   */
  @Property(tries = 150, seed = "34")
  void sharesNeverSumAboveTheQuota(@ForAll @IntRange(min = 2, max = 9) int n,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    Fleet f = new Fleet(n, seed);
    for (int i = 0; i < 14; i++) {
      int who = chance.nextInt(n);
      int cut = chance.nextInt(n);
      int other = chance.nextInt(n);
      f.loss = chance.nextInt(3) == 0 ? 0.3 * chance.nextDouble() : 0;
      switch (chance.nextInt(7)) {
        case 0 -> f.dead[who] = true;
        case 1 -> f.start(who);
        case 2 -> f.paused[who] = !f.dead[who];
        case 3 -> f.reach = (a, b) -> a < cut == b < cut;
        case 4 -> f.reach = (a, b) -> a == other || b == other || a < cut == b < cut;
        case 5 -> f.reach = (a, b) -> a != who || b == other;
        default -> f.reach = (a, b) -> true;
      }
      f.pass((long) (chance.nextDouble() * 2 * f.terms.takeoverTicks()));
      if (f.paused[who] && chance.nextBoolean()) f.resume(who);
    }
    assertTrue(f.mostShared <= 1 + 1e-9, f.mostShared + " quotas in use");
  }

  /**
   * A dead member's surplus goes to the others within the stated time, and back to it when it
   * returns.
   */
  @Test
  void deadMembersSurplusIsTakenOver() {
    Fleet f = joined(5, 11);
    f.pass(f.terms.leaseTicks());
    assertEquals(1, f.shared(0, 5), 1e-9);
    f.dead[3] = true;
    double full = 1 - QuotaShares.FLOOR_FRACTION / 5;
    long took = f.until(() -> f.shared(0, 5) > full - 1e-9,
        f.terms.failureDetectionTicks() + f.terms.takeoverTicks());
    assertTrue(took > 0, f.shared(0, 5) + " of " + full);
    f.start(3);
    assertTrue(f.until(() -> f.shares[3].ownShare(f.now, 0, 5) > 0.2 - 1e-9,
        f.terms.convergenceTicks() + 2 * f.terms.leaseExpiryTicks()) > 0);
    assertTrue(f.mostShared <= 1 + 1e-9, f.mostShared + " quotas in use");
  }

  /**
   * Of a split the majority ends with all but the others' floors, the minority with its floors, and
   * equal halves with halves.
   */
  @Test
  void sidesOfASplitShareOneQuota() {
    Fleet f = joined(5, 12);
    f.pass(f.terms.leaseTicks());
    f.reach = (a, b) -> a < 2 == b < 2;
    f.pass(f.terms.failureDetectionTicks() + f.terms.takeoverTicks());
    assertEquals(FleetView.MINORITY, f.members[0].fleetView());
    assertEquals(FleetView.MAJORITY, f.members[4].fleetView());
    assertEquals(QuotaShares.FLOOR_FRACTION / 5, f.shares[0].ownShare(f.now, 0, 5), 1e-9);
    assertEquals((1 - 2 * QuotaShares.FLOOR_FRACTION / 5) / 3, f.shares[4].ownShare(f.now, 0, 5),
        1e-9);
    f.reach = (a, b) -> true;
    assertTrue(f.until(() -> f.agree() && f.shared(0, 5) > 1 - 1e-9,
        f.terms.convergenceTicks() + 2 * f.terms.leaseExpiryTicks()) > 0);
    Fleet g = joined(6, 13);
    g.reach = (a, b) -> a < 3 == b < 3;
    g.pass(g.terms.failureDetectionTicks() + g.terms.takeoverTicks());
    assertEquals(1, g.shared(0, 6), 1e-9);
    assertTrue(f.mostShared <= 1 + 1e-9 && g.mostShared <= 1 + 1e-9,
        f.mostShared + " " + g.mostShared);
  }

  /** A planned end is followed by the others at once: it has given up its surplus itself. */
  @Test
  void leaversSurplusIsTakenWithoutAWait() {
    Fleet f = joined(5, 14);
    f.pass(f.terms.leaseTicks());
    f.members[1].leave();
    f.shares[1].update(f.members[1].membershipEvent());
    f.pass(Fleet.SECOND);
    f.dead[1] = true;
    assertTrue(f.until(() -> f.shared(0, 5) > 1 - QuotaShares.FLOOR_FRACTION / 5 - 1e-9,
        f.terms.leaseTicks()) > 0);
    f.start(1);
    f.pass(f.terms.convergenceTicks() + f.terms.leaseExpiryTicks());
    assertEquals(1, f.shared(0, 5), 1e-9);
    assertTrue(f.mostShared <= 1 + 1e-9, f.mostShared + " quotas in use");
  }

  /** Whatever updates come in whatever order, a lower incarnation never overrides a higher one. */
  @Property(tries = 40, seed = "32")
  void incarnationsNeverFall(@ForAll @IntRange(max = 1_000_000) int seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<MembershipMessage> sent = new ArrayList<>();
    Membership m = new Membership(MembershipTimings.of(6, 60), 0, 5, seed, 0,
        new Membership.Output() {
          @Override
          public void send(int to, MembershipMessage x) {
            sent.add(x);
          }

          @Override
          public void stateChanged(int member, State state, long inc, long version) {}
        });
    long[] high = new long[6];
    for (int i = 0; i < 300; i++) {
      List<MemberUpdate> news = List.of(new MemberUpdate(chance.nextInt(8),
          State.values()[chance.nextInt(5)], chance.nextInt(9), chance.nextInt(8)));
      int from = chance.nextInt(8) - 1;
      m.receive(i * 100, from,
          new MembershipMessage(Kind.values()[chance.nextInt(4)], chance.nextInt(9),
              chance.nextInt(9), chance.nextInt(9), chance.nextLong(), chance.nextBoolean(), news));
      m.tick(i * 100);
      for (int k = 0; k < 6; k++) {
        assertTrue(m.incarnation(k) >= high[k],
            "member " + k + " fell from " + high[k] + " to " + m.incarnation(k));
        high[k] = m.incarnation(k);
      }
      assertEquals(State.ALIVE, m.state(0)); // it refutes whatever is said of itself
    }
  }

  /**
   * Any bytes cost that datagram only; what is written is read back; a spoilt or truncated one is
   * none.
   */
  @Property(tries = 200, seed = "33")
  void messageIsReadBackOrRejected(@ForAll byte[] noise,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    assertTrue(MembershipCodec.decode(noise) == null);
    SplittableRandom chance = new SplittableRandom(seed);
    List<MemberUpdate> news = new ArrayList<>();
    for (int i = chance.nextInt(MembershipMessage.MAX_UPDATES + 1); i > 0; i--) {
      news.add(new MemberUpdate(chance.nextInt(65_536), State.values()[chance.nextInt(5)],
          chance.nextLong(1L << 32), chance.nextInt(65_536)));
    }
    MembershipMessage m = new MembershipMessage(Kind.values()[chance.nextInt(4)], chance.nextInt(),
        chance.nextInt(65_536), chance.nextLong(1L << 32), chance.nextLong(), chance.nextBoolean(),
        news);
    byte[] bytes = MembershipCodec.encode(m);
    assertTrue(bytes.length <= 256);
    assertEquals(m, MembershipCodec.decode(bytes));
    byte[] spoilt = bytes.clone();
    spoilt[chance.nextInt(bytes.length)] ^= 1 << chance.nextInt(8);
    assertTrue(MembershipCodec.decode(spoilt) == null);
    assertTrue(MembershipCodec.decode(java.util.Arrays.copyOf(bytes, bytes.length - 1)) == null);
  }
}
