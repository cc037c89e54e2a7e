package saltlatch.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import saltlatch.configuration.SharedConfiguration.LeaseExpiryPolicy;

/** Tests the comparison of two versions. */
class ConfigurationConflictsTest {
  /**
   * Guards against a tightened part that is not detected as a conflict: the newer version tightens
   * each part that can conflict.
   */
  @Test
  void tightenedPartsAreReportedByTheirKeys() {
    SharedConfiguration older = Configurations.withRate(5, LeaseExpiryPolicy.REJECT_REQUESTS);
    older.exemptCustomers().add(3L);
    SharedConfiguration newer = new SharedConfiguration(older.version(),
        Configurations.withRate(4, LeaseExpiryPolicy.REJECT_REQUESTS).quotaPlans(), Map.of(),
        new SharedConfiguration.Limits(3, 1_000), older.excludedServers(), older.blockedCustomers(),
        new TreeSet<>(), older.members(), older.lockedKeys(), older.leaseExpiryPolicy());
    newer.excludedServers().add("s-1");
    assertEquals("[customers, frontends.read, heldOut, plans.plan, sendCap]",
        ConfigurationConflicts.between(older, newer).keys().toString());
    assertEquals("[]", ConfigurationConflicts.between(older, older).keys().toString());
  }
}
