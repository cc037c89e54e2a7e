package saltlatch.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import saltlatch.membership.MembershipMessage.State;

/**
 * Long-running measurements for docs/member-design.md, which CI does not run. Run them with: mvn
 * test -Dtest=MembershipMeasure -Dsaltlatch.measure=true.
 */
@EnabledIfSystemProperty(named = "saltlatch.measure", matches = "true")
class MembershipMeasure {
  @Test
  void documentedBoundsHold() {
    for (int memberCount : new int[] {5, 20, 100, 1000}) {
      int runs = memberCount < 1000 ? 20 : 2;
      double[] failureTimes = new double[runs];
      double[] convergenceTimes = new double[runs];
      double sentPerSecond = 0;
      MembershipTimings timings = MembershipTimings.of(memberCount, 60);
      for (int seed = 0; seed < runs; seed++) {
        Fleet fleet = new Fleet(memberCount, seed);
        fleet.lossRate = 0.1;
        assertTrue(fleet.awaitCondition(fleet::viewsAgree, fleet.timings.convergenceTicks()) >= 0);
        long sentBefore = fleet.sentCount;
        fleet.advance(10 * Fleet.SECOND);
        sentPerSecond += (fleet.sentCount - sentBefore) / 10.0 / memberCount / runs;
        fleet.dead[memberCount / 2] = true;
        failureTimes[seed] = fleet.awaitCondition(
            () -> fleet.allOthersSee(memberCount / 2, State.FAILED),
            timings.failureDetectionTicks());
        fleet.canReach = (sender,
            receiver) -> sender < memberCount / 3 == receiver < memberCount / 3;
        fleet.advance(20 * Fleet.SECOND);
        fleet.canReach = (sender, receiver) -> true;
        convergenceTimes[seed] = fleet.awaitCondition(fleet::viewsAgree,
            timings.convergenceTicks());
        assertTrue(failureTimes[seed] >= 0 && convergenceTimes[seed] >= 0,
            memberCount + " members, seed " + seed);
      }
      print(memberCount, "T1", failureTimes, timings.failureDetectionTicks());
      print(memberCount, "T3", convergenceTimes, timings.convergenceTicks());
      System.out.printf(Locale.ROOT,
          "MEASURED %d members: %.2f datagrams a second each sent, %.1f stated%n", memberCount,
          sentPerSecond, timings.datagramsPerSecond());
    }
  }

  /** Measures the time until all views agree if up to 1000 members start at the same time. */
  @Test
  void measureSimultaneousStart() {
    for (int memberCount : new int[] {100, 300, 1000}) {
      Fleet fleet = new Fleet(memberCount, 3);
      fleet.lossRate = 0.1;
      long duration = fleet.awaitCondition(fleet::viewsAgree, 3 * fleet.timings.convergenceTicks());
      System.out.printf(Locale.ROOT, "MEASURED %d members from nothing: %.1f s, T3 %.1f s%n",
          memberCount, (double) duration / Fleet.SECOND,
          (double) fleet.timings.convergenceTicks() / Fleet.SECOND);
    }
  }

  @Test
  void measureFalseFailures() {
    for (double lossRate : new double[] {0.1, 0.3}) {
      int falseFailures = 0;
      for (int seed = 0; seed < 5; seed++) {
        Fleet fleet = new Fleet(20, seed);
        fleet.awaitCondition(fleet::viewsAgree, fleet.timings.convergenceTicks());
        fleet.lossRate = lossRate;
        fleet.advance(600 * Fleet.SECOND);
        falseFailures += fleet.falseFailures;
        fleet.lossRate = 0;
        assertTrue(fleet.awaitCondition(fleet::viewsAgree, fleet.timings.convergenceTicks()) >= 0);
      }
      System.out.printf(Locale.ROOT,
          "MEASURED loss %.1f: %d false verdicts in 5 x 10 minutes of 20 members%n", lossRate,
          falseFailures);
      assertTrue(lossRate > 0.1 || falseFailures == 0);
    }
  }

  private static void print(int memberCount, String boundName, double[] times, long bound) {
    Arrays.sort(times);
    System.out.printf(Locale.ROOT,
        "MEASURED %d members, %s: p50 %.1f s, max %.1f s of %d; stated %.1f s%n", memberCount,
        boundName, times[times.length / 2] / Fleet.SECOND, times[times.length - 1] / Fleet.SECOND,
        times.length, (double) bound / Fleet.SECOND);
  }
}
