package saltlatch.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.Ticks;
import saltlatch.configuration.SharedConfiguration.LeaseExpiryPolicy;

/** Tests a node's lease after stale responses. */
class ConfigurationFollowerTest {
  private static final LeaseTimings TIMINGS = new LeaseTimings(LeaseTimings.DEFAULT_RENEWAL_TICKS);

  private final List<Long> renewalNumbers = new ArrayList<>();
  private final ConfigurationFollower follower = new ConfigurationFollower("n0", TIMINGS, null, 1,
      0, (active, proposed) -> null, new ConfigurationFollower.Actions() {
        @Override
        public void renew(long number, LeaseRenewal renewal) {
          renewalNumbers.add(number);
        }

        @Override
        public void activated(SharedConfiguration configuration,
            ConfigurationConflicts conflicts) {}
      });

  private static SharedConfiguration version(long number, double ratePerSecond) {
    return Configurations.withRate(ratePerSecond, LeaseExpiryPolicy.REJECT_REQUESTS)
        .withVersion(new ConfigurationVersion(1, number));
  }

  /**
   * Guards against stale responses that extend the node's lease or return it to an older version.
   * One response comes from a server of the quorum that was restored to an old state and reports an
   * older version. The other one arrives after the next renewal was sent.
   */
  @Test
  void staleResponsesNeitherExtendTheLeaseNorReplaceTheVersion() {
    SharedConfiguration second = version(2, 5);
    follower.tick(0);
    follower.responseReceived(100, renewalNumbers.get(0),
        new LeaseResponse(second.version(), second, null));
    assertTrue(follower.holdsLease(TIMINGS.leaseTicks() - 1)
        && !follower.holdsLease(TIMINGS.leaseTicks()));
    long laterTicks = 2 * Ticks.PER_SECOND;
    follower.tick(laterTicks);
    SharedConfiguration first = version(1, 9);
    follower.responseReceived(laterTicks + 1, renewalNumbers.get(1),
        new LeaseResponse(first.version(), first, null));
    assertEquals(second, follower.active());
    assertFalse(follower.holdsLease(TIMINGS.leaseTicks()));
    follower.responseReceived(laterTicks + 2, renewalNumbers.get(0),
        new LeaseResponse(second.version(), null, null));
    assertFalse(follower.holdsLease(TIMINGS.leaseTicks()));
  }
}
