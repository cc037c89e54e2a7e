package saltlatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import saltlatch.membership.MembershipTimings;

/**
 * Checks that the scale test of members gives the same run for the same seed and that its times and
 * rates stay within the limits of {@link MembershipTimings}.
 */
class MembersScaleTest {
  private static final int MEMBERS = 40;

  @Test
  void measuredTimesAndRatesStayWithinTheTimings() {
    MembershipTimings timings = new MemberNetwork(MEMBERS, 1).timings();
    Map<String, MetricValues> measured = new MembersScale().measure(MEMBERS, 1);
    double failedWithin = (double) timings.failureDetectionTicks() / MemberNetwork.TICKS_PER_SECOND;
    double failed = measured.get("members.failure").map().get(Quantity.SECONDS);
    assertTrue(failed > 0 && failed <= failedWithin,
        "expected above 0 and at most " + failedWithin + " s, found " + failed);
    Map<Quantity, Double> rest = measured.get("members.rest").map();
    assertTrue(rest.get(Quantity.MESSAGES_IN) <= timings.datagramsPerSecond(), rest.toString());
    assertTrue(rest.get(Quantity.BYTES_IN) <= 256 * rest.get(Quantity.MESSAGES_IN),
        rest.toString());
  }

  @Test
  void sameSeedGivesTheSameRun() {
    MemberNetwork one = new MemberNetwork(MEMBERS, 7);
    MemberNetwork other = new MemberNetwork(MEMBERS, 7);
    assertEquals(one.until(one::agree, 600 * MemberNetwork.TICKS_PER_SECOND),
        other.until(other::agree, 600 * MemberNetwork.TICKS_PER_SECOND));
    assertTrue(one.agree());
    assertEquals(one.datagrams(), other.datagrams());
    assertEquals(one.bytes(), other.bytes());
  }

  @Test
  void requiresMemoryThatGrowsWithTheSquareOfTheMembers() {
    ResourceRequirements requirements = new MembersScale().requirements(20_000);
    assertTrue(requirements.bytes() > 60L << 30, requirements.toString());
  }
}
