package saltlatch.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import saltlatch.membership.MembershipMessage.State;

/**
 * The long measurements behind docs/member-design.md, out of CI: mvn test -Dtest=MembershipMeasure
 * -Dsaltlatch.measure=true.
 */
@EnabledIfSystemProperty(named = "saltlatch.measure", matches = "true")
class MembershipMeasure {
  @Test
  void statedTimes() {
    for (int n : new int[] {5, 20, 100, 1000}) {
      int runs = n < 1000 ? 20 : 2;
      double[] failed = new double[runs];
      double[] equal = new double[runs];
      double cost = 0;
      MembershipTimings terms = MembershipTimings.of(n, 60);
      for (int seed = 0; seed < runs; seed++) {
        Fleet f = new Fleet(n, seed);
        f.loss = 0.1;
        assertTrue(f.until(f::agree, f.terms.convergenceTicks()) >= 0);
        long before = f.sent;
        f.pass(10 * Fleet.SECOND);
        cost += (f.sent - before) / 10.0 / n / runs;
        f.dead[n / 2] = true;
        failed[seed] = f.until(() -> f.allSee(n / 2, State.FAILED), terms.failureDetectionTicks());
        f.reach = (a, b) -> a < n / 3 == b < n / 3;
        f.pass(20 * Fleet.SECOND);
        f.reach = (a, b) -> true;
        equal[seed] = f.until(f::agree, terms.convergenceTicks());
        assertTrue(failed[seed] >= 0 && equal[seed] >= 0, n + " members, seed " + seed);
      }
      print(n, "T1", failed, terms.failureDetectionTicks());
      print(n, "T3", equal, terms.convergenceTicks());
      System.out.printf(Locale.ROOT,
          "MEASURED %d members: %.2f datagrams a second each sent, %.1f stated%n", n, cost,
          terms.datagramsPerSecond());
    }
  }

  /** A thousand that start at once, knowing nobody, all know each other. */
  @Test
  void allStartAtOnce() {
    for (int n : new int[] {100, 300, 1000}) {
      Fleet f = new Fleet(n, 3);
      f.loss = 0.1;
      long took = f.until(f::agree, 3 * f.terms.convergenceTicks());
      System.out.printf(Locale.ROOT, "MEASURED %d members from nothing: %.1f s, T3 %.1f s%n", n,
          (double) took / Fleet.SECOND, (double) f.terms.convergenceTicks() / Fleet.SECOND);
    }
  }

  @Test
  void falseVerdicts() {
    for (double loss : new double[] {0.1, 0.3}) {
      int wrong = 0;
      for (int seed = 0; seed < 5; seed++) {
        Fleet f = new Fleet(20, seed);
        f.until(f::agree, f.terms.convergenceTicks());
        f.loss = loss;
        f.pass(600 * Fleet.SECOND);
        wrong += f.falseFailures;
        f.loss = 0;
        assertTrue(f.until(f::agree, f.terms.convergenceTicks()) >= 0);
      }
      System.out.printf(Locale.ROOT,
          "MEASURED loss %.1f: %d false verdicts in 5 x 10 minutes of 20 members%n", loss, wrong);
      assertTrue(loss > 0.1 || wrong == 0);
    }
  }

  private static void print(int n, String what, double[] times, long stated) {
    Arrays.sort(times);
    System.out.printf(Locale.ROOT,
        "MEASURED %d members, %s: p50 %.1f s, max %.1f s of %d; stated %.1f s%n", n, what,
        times[times.length / 2] / Fleet.SECOND, times[times.length - 1] / Fleet.SECOND,
        times.length, (double) stated / Fleet.SECOND);
  }
}
