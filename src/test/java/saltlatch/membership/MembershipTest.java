package saltlatch.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
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
 * Tests membership in a deterministic simulation in virtual time: with injected faults, and with
 * each documented time bound checked.
 */
class MembershipTest {
  private static Fleet joinedFleet(int memberCount, long seed) {
    Fleet fleet = new Fleet(memberCount, seed);
    assertTrue(fleet.awaitCondition(fleet::viewsAgree, fleet.timings.convergenceTicks()) >= 0,
        memberCount + " members did not join within T3");
    return fleet;
  }

  @Test
  void equalSeedsProduceEqualHistories() {
    String[] histories = new String[2];
    for (int run = 0; run < 2; run++) {
      Fleet fleet = joinedFleet(9, 4);
      fleet.lossRate = 0.2;
      fleet.dead[3] = true;
      fleet.advance(60 * Fleet.SECOND);
      histories[run] = fleet.history.toString();
    }
    assertEquals(histories[0], histories[1]);
  }

  @Test
  void deadMemberIsMarkedFailedAndCanRejoin() {
    Fleet fleet = joinedFleet(7, 1);
    fleet.dead[2] = true;
    assertTrue(fleet.awaitCondition(() -> fleet.allOthersSee(2, State.FAILED),
        fleet.timings.failureDetectionTicks()) > 0);
    fleet.start(2);
    assertTrue(fleet.awaitCondition(fleet::viewsAgree, fleet.timings.convergenceTicks()) >= 0,
        "the restarted member is not alive in all views within T3");
    assertTrue(fleet.members[0].incarnation(2) > 1);
  }

  /**
   * Guards against a restarted member that continues with its previous incarnation. The member is
   * killed and restarted before any other member detects the failure.
   */
  @Test
  void immediateRestartTakesHigherIncarnation() {
    Fleet fleet = joinedFleet(5, 2);
    fleet.advance(Fleet.SECOND);
    long previousIncarnation = fleet.members[1].incarnation(4);
    fleet.start(4);
    fleet.advance(fleet.timings.convergenceTicks());
    assertTrue(fleet.viewsAgree() && fleet.members[1].incarnation(4) > previousIncarnation);
    assertEquals(0, fleet.falseFailures);
  }

  @Test
  void simultaneousDeathOfSeventyPercentIsDetected() {
    Fleet fleet = joinedFleet(20, 3);
    for (int member = 0; member < 14; member++) {
      fleet.dead[member] = true;
    }
    assertTrue(fleet.awaitCondition(fleet::viewsAgree, fleet.timings.failureDetectionTicks()) > 0);
    assertEquals(6, fleet.members[19].liveCount());
  }

  /**
   * Guards against false failures after a pause. The member is paused for longer than any suspicion
   * lasts. After it resumes, all views must agree within T2, and no live member may be marked
   * failed.
   */
  @Test
  void pausedMemberSuspectsNobody() {
    Fleet fleet = joinedFleet(8, 5);
    fleet.paused[1] = true;
    fleet.advance(2 * fleet.timings.failureDetectionTicks());
    assertTrue(fleet.allOthersSee(1, State.FAILED));
    int falseFailuresBefore = fleet.falseFailures;
    fleet.resume(1);
    assertTrue(fleet.awaitCondition(fleet::viewsAgree, fleet.timings.falseFailureTicks()) >= 0);
    fleet.advance(fleet.timings.failureDetectionTicks());
    assertEquals(falseFailuresBefore, fleet.falseFailures,
        "live members were marked failed after the resumption");
  }

  @Test
  void plannedLeaveIsDisseminated() {
    Fleet fleet = joinedFleet(12, 6);
    fleet.members[5].leave();
    fleet.advance(Fleet.SECOND);
    fleet.dead[5] = true;
    assertTrue(
        fleet.awaitCondition(() -> fleet.allOthersSee(5, State.LEFT), 10 * Fleet.SECOND) >= 0);
    fleet.start(5);
    assertTrue(fleet.awaitCondition(fleet::viewsAgree, fleet.timings.convergenceTicks()) >= 0);
  }

  /**
   * Partitions into a minority and a majority, then into equal halves: each side considers exactly
   * its own members live, and all views agree within T3 after the partition heals.
   */
  @Test
  void viewsConvergeAfterPartitionHeals() {
    Fleet fleet = joinedFleet(10, 7);
    for (int cut : new int[] {3, 5}) {
      fleet.canReach = (sender, receiver) -> sender < cut == receiver < cut;
      fleet.advance(fleet.timings.failureDetectionTicks());
      assertEquals(cut, fleet.members[0].liveCount());
      assertEquals(10 - cut, fleet.members[9].liveCount());
      fleet.canReach = (sender, receiver) -> true;
      assertTrue(fleet.awaitCondition(fleet::viewsAgree, fleet.timings.convergenceTicks()) >= 0,
          "views differ after the healing of a partition at member " + cut);
    }
  }

  /**
   * Guards against a burst of datagrams after a partition heals: the maximum per tick must be at
   * most three times the maximum before the partition.
   */
  @Test
  void healedPartitionCausesNoTrafficBurst() {
    Fleet fleet = joinedFleet(40, 15);
    fleet.maxSentPerTick = 0;
    fleet.advance(30 * Fleet.SECOND);
    int maxBefore = fleet.maxSentPerTick;
    fleet.canReach = (sender, receiver) -> sender < 20 == receiver < 20;
    fleet.advance(fleet.timings.failureDetectionTicks());
    fleet.canReach = (sender, receiver) -> true;
    fleet.maxSentPerTick = 0;
    fleet.advance(fleet.timings.convergenceTicks());
    assertTrue(fleet.viewsAgree() && fleet.maxSentPerTick <= 3 * maxBefore,
        fleet.maxSentPerTick + " datagrams per tick after the healing, " + maxBefore + " before");
  }

  /**
   * Guards against false failures under one-way loss. Member 0 receives datagrams from member 1 but
   * cannot reach it; the indirect probes by the others keep both alive. Afterwards member 2 bridges
   * a partition, and all views must agree within T3 after it heals.
   */
  @Test
  void oneWayLossFailsNobodyAndBridgedPartitionHeals() {
    Fleet fleet = joinedFleet(6, 8);
    fleet.canReach = (sender, receiver) -> !(sender == 0 && receiver == 1);
    fleet.advance(120 * Fleet.SECOND);
    assertTrue(fleet.viewsAgree(), "one-way loss between two members made a view differ");
    // member 2 reaches both sides of a partition
    fleet.canReach = (sender, receiver) -> sender == 2 || receiver == 2
        || sender < 2 == receiver < 2;
    fleet.advance(120 * Fleet.SECOND);
    fleet.canReach = (sender, receiver) -> true;
    assertTrue(fleet.awaitCondition(fleet::viewsAgree, fleet.timings.convergenceTicks()) >= 0);
  }

  @Test
  void noFalseFailureInTenMinutesAtTenPercentLoss() {
    Fleet fleet = joinedFleet(20, 9);
    fleet.lossRate = 0.1;
    fleet.advance(600 * Fleet.SECOND);
    assertEquals(0, fleet.falseFailures);
  }

  /**
   * The rate of datagrams per member does not grow with the fleet, and is at most half of the rate
   * that a node accepts.
   */
  @Test
  void trafficPerMemberIsIndependentOfFleetSize() {
    for (int memberCount : new int[] {5, 20, 100}) {
      Fleet fleet = joinedFleet(memberCount, 10);
      long sentBefore = fleet.sentCount;
      fleet.lossRate = 0.1;
      fleet.advance(30 * Fleet.SECOND);
      double perMember = (fleet.sentCount - sentBefore) / 30.0 / memberCount;
      assertTrue(
          perMember <= fleet.timings.datagramsPerSecond()
              && fleet.timings.datagramsPerSecond() <= 30.01,
          memberCount + " members: " + perMember + " datagrams per second each");
    }
  }

  /**
   * Injects random kills, pauses, partitions and loss. After the last fault, at 10 % loss,
   * all views must agree within T1 + T3, with the dead members failed.
   */
  @Property(tries = 12, seed = "31")
  void viewsAgreeAfterRandomFaults(@ForAll @IntRange(min = 5, max = 30) int memberCount,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    Fleet fleet = joinedFleet(memberCount, seed);
    SplittableRandom random = new SplittableRandom(seed);
    for (int step = 0; step < 6; step++) {
      fleet.lossRate = 0.3 * random.nextDouble();
      int member = random.nextInt(memberCount);
      int cut = random.nextInt(memberCount);
      switch (random.nextInt(3)) {
        case 0 -> fleet.dead[member] |= memberCount - step > 4;
        case 1 -> fleet.paused[member] = !fleet.dead[member];
        default -> fleet.canReach = (sender, receiver) -> sender < cut == receiver < cut;
      }
      fleet.advance(random.nextInt(200_000));
      if (fleet.paused[member]) {
        fleet.resume(member);
      }
    }
    fleet.canReach = (sender, receiver) -> true;
    fleet.lossRate = 0.1;
    assertTrue(
        fleet.awaitCondition(fleet::viewsAgree,
            fleet.timings.failureDetectionTicks() + fleet.timings.convergenceTicks()) >= 0,
        "views differ after all faults were repaired");
    assertTrue(fleet.maxTotalShare <= 1 + 1e-9, fleet.maxTotalShare + " of the quota in use");
  }

  /**
   * Guards against a quota that is used twice. Injects kills, restarts, pauses, partitions, one-way
   * loss and bridged partitions that last up to twice the takeover time; the shares of all
   * processes must never sum to more than 1.
   */
  @Property(tries = 150, seed = "34")
  void sharesNeverSumAboveTheQuota(@ForAll @IntRange(min = 2, max = 9) int memberCount,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Fleet fleet = new Fleet(memberCount, seed);
    for (int step = 0; step < 14; step++) {
      int member = random.nextInt(memberCount);
      int cut = random.nextInt(memberCount);
      int other = random.nextInt(memberCount);
      fleet.lossRate = random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0;
      switch (random.nextInt(7)) {
        case 0 -> fleet.dead[member] = true;
        case 1 -> fleet.start(member);
        case 2 -> fleet.paused[member] = !fleet.dead[member];
        case 3 -> fleet.canReach = (sender, receiver) -> sender < cut == receiver < cut;
        case 4 -> fleet.canReach = (sender, receiver) -> sender == other || receiver == other
            || sender < cut == receiver < cut;
        case 5 -> fleet.canReach = (sender, receiver) -> sender != member || receiver == other;
        default -> fleet.canReach = (sender, receiver) -> true;
      }
      fleet.advance((long) (random.nextDouble() * 2 * fleet.timings.takeoverTicks()));
      if (fleet.paused[member] && random.nextBoolean()) {
        fleet.resume(member);
      }
    }
    assertTrue(fleet.maxTotalShare <= 1 + 1e-9, fleet.maxTotalShare + " of the quota in use");
  }

  /**
   * The other members take over a dead member's surplus within the documented bound, and return it
   * after the member has restarted.
   */
  @Test
  void surplusOfDeadMemberIsTakenOver() {
    Fleet fleet = joinedFleet(5, 11);
    fleet.advance(fleet.timings.leaseTicks());
    assertEquals(1, fleet.totalShare(0, 5), 1e-9);
    fleet.dead[3] = true;
    double expected = 1 - QuotaShares.FLOOR_FRACTION / 5;
    long takeoverTime = fleet.awaitCondition(() -> fleet.totalShare(0, 5) > expected - 1e-9,
        fleet.timings.failureDetectionTicks() + fleet.timings.takeoverTicks());
    assertTrue(takeoverTime > 0,
        fleet.totalShare(0, 5) + " of the quota in use instead of " + expected);
    fleet.start(3);
    assertTrue(fleet.awaitCondition(() -> fleet.shares[3].ownShare(fleet.now, 0, 5) > 0.2 - 1e-9,
        fleet.timings.convergenceTicks() + 2 * fleet.timings.leaseExpiryTicks()) > 0);
    assertTrue(fleet.maxTotalShare <= 1 + 1e-9, fleet.maxTotalShare + " of the quota in use");
  }

  /**
   * In a partition the majority uses everything except the floors of the minority, and the minority
   * only its floors; each of two equal halves uses half of the quota.
   */
  @Test
  void sidesOfPartitionShareOneQuota() {
    Fleet fleet = joinedFleet(5, 12);
    fleet.advance(fleet.timings.leaseTicks());
    fleet.canReach = (sender, receiver) -> sender < 2 == receiver < 2;
    fleet.advance(fleet.timings.failureDetectionTicks() + fleet.timings.takeoverTicks());
    assertEquals(FleetView.MINORITY, fleet.members[0].fleetView());
    assertEquals(FleetView.MAJORITY, fleet.members[4].fleetView());
    assertEquals(QuotaShares.FLOOR_FRACTION / 5, fleet.shares[0].ownShare(fleet.now, 0, 5), 1e-9);
    assertEquals((1 - 2 * QuotaShares.FLOOR_FRACTION / 5) / 3,
        fleet.shares[4].ownShare(fleet.now, 0, 5), 1e-9);
    fleet.canReach = (sender, receiver) -> true;
    assertTrue(fleet.awaitCondition(() -> fleet.viewsAgree() && fleet.totalShare(0, 5) > 1 - 1e-9,
        fleet.timings.convergenceTicks() + 2 * fleet.timings.leaseExpiryTicks()) > 0);
    Fleet evenFleet = joinedFleet(6, 13);
    evenFleet.canReach = (sender, receiver) -> sender < 3 == receiver < 3;
    evenFleet
        .advance(evenFleet.timings.failureDetectionTicks() + evenFleet.timings.takeoverTicks());
    assertEquals(1, evenFleet.totalShare(0, 6), 1e-9);
    assertTrue(fleet.maxTotalShare <= 1 + 1e-9 && evenFleet.maxTotalShare <= 1 + 1e-9,
        fleet.maxTotalShare + " " + evenFleet.maxTotalShare);
  }

  /**
   * The others take over the surplus of a member that leaves as planned within a lease, without
   * waiting for W, since the member itself has given it up.
   */
  @Test
  void surplusOfLeavingMemberIsTakenOverAtOnce() {
    Fleet fleet = joinedFleet(5, 14);
    fleet.advance(fleet.timings.leaseTicks());
    fleet.members[1].leave();
    fleet.shares[1].update(fleet.members[1].membershipEvent());
    fleet.advance(Fleet.SECOND);
    fleet.dead[1] = true;
    assertTrue(fleet.awaitCondition(
        () -> fleet.totalShare(0, 5) > 1 - QuotaShares.FLOOR_FRACTION / 5 - 1e-9,
        fleet.timings.leaseTicks()) > 0);
    fleet.start(1);
    fleet.advance(fleet.timings.convergenceTicks() + fleet.timings.leaseExpiryTicks());
    assertEquals(1, fleet.totalShare(0, 5), 1e-9);
    assertTrue(fleet.maxTotalShare <= 1 + 1e-9, fleet.maxTotalShare + " of the quota in use");
  }

  /**
   * Guards against a lower incarnation that overrides a higher one. The updates and their order are
   * random.
   */
  @Property(tries = 40, seed = "32")
  void incarnationsNeverDecrease(@ForAll @IntRange(max = 1_000_000) int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Membership membership = new Membership(MembershipTimings.of(6, 60), 0, 5, seed, 0,
        new Membership.Output() {
          @Override
          public void send(int receiver, MembershipMessage message) {}

          @Override
          public void stateChanged(int member, State state, long incarnation, long version) {}
        });
    long[] highestIncarnations = new long[6];
    for (int step = 0; step < 300; step++) {
      List<MemberUpdate> updates = List.of(new MemberUpdate(random.nextInt(8),
          State.ofCode(random.nextInt(5)), random.nextInt(9), random.nextInt(8)));
      int sender = random.nextInt(8) - 1;
      membership.receive(step * 100L, sender,
          new MembershipMessage(Kind.ofCode(random.nextInt(4)), random.nextInt(9),
              random.nextInt(9), random.nextInt(9), random.nextLong(), random.nextBoolean(),
              updates));
      membership.tick(step * 100L);
      for (int member = 0; member < 6; member++) {
        long incarnation = membership.incarnation(member);
        assertTrue(incarnation >= highestIncarnations[member], "incarnation of member " + member
            + " fell from " + highestIncarnations[member] + " to " + incarnation);
        highestIncarnations[member] = incarnation;
      }
      assertEquals(State.ALIVE, membership.state(0)); // it refutes each update about itself
    }
  }

  /**
   * An encoded message is decoded to an equal one. Random bytes, a datagram with a
   * flipped bit and a truncated datagram are rejected without an exception.
   */
  @Property(tries = 200, seed = "33")
  void messageIsDecodedOrRejected(@ForAll byte[] randomBytes,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    assertTrue(MembershipCodec.decode(randomBytes) == null);
    SplittableRandom random = new SplittableRandom(seed);
    List<MemberUpdate> updates = new ArrayList<>();
    for (int i = random.nextInt(MembershipMessage.MAX_UPDATES + 1); i > 0; i--) {
      updates.add(new MemberUpdate(random.nextInt(65_536), State.ofCode(random.nextInt(5)),
          random.nextLong(1L << 32), random.nextInt(65_536)));
    }
    MembershipMessage message = new MembershipMessage(Kind.ofCode(random.nextInt(4)),
        random.nextInt(), random.nextInt(65_536), random.nextLong(1L << 32), random.nextLong(),
        random.nextBoolean(), updates);
    byte[] datagram = MembershipCodec.encode(message);
    assertTrue(datagram.length <= 256);
    assertEquals(message, MembershipCodec.decode(datagram));
    byte[] corrupted = datagram.clone();
    corrupted[random.nextInt(datagram.length)] ^= (byte) (1 << random.nextInt(8));
    assertTrue(MembershipCodec.decode(corrupted) == null);
    assertTrue(MembershipCodec.decode(Arrays.copyOf(datagram, datagram.length - 1)) == null);
  }
}
