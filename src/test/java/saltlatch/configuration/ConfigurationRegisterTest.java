package saltlatch.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.RequestClass;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.configuration.ConfigurationRegister.Operation;
import saltlatch.configuration.OperationResult.Status;
import saltlatch.configuration.SharedConfiguration.LeaseExpiryPolicy;

/** Tests the results of operations on the register. */
class ConfigurationRegisterTest {
  private final ConfigurationRegister register = new ConfigurationRegister();

  private static SharedConfiguration withRate(double ratePerSecond, String... lockedKeys) {
    return Configurations.withRate(ratePerSecond, LeaseExpiryPolicy.REJECT_REQUESTS, lockedKeys);
  }

  private void assertResult(Status status, String description, Operation operation) {
    assertEquals(new OperationResult(status, description), register.apply(operation));
  }

  private void assertResultStartsWith(Status status, String prefix, Operation operation) {
    OperationResult result = register.apply(operation);
    assertEquals(status, result.status());
    assertTrue(result.description().startsWith(prefix), result.description());
  }

  /**
   * Guards against operations that would return the register to an older state: the activation of a
   * version that is already active, a proposal that is not based on the newest version, a second
   * proposal while one waits, a tightened locked key and an older epoch. Each must be refused with
   * its reason and must not change the active version.
   */
  @Test
  void staleAndConflictingOperationsAreRefused() {
    assertResult(Status.PROPOSED, "offered 1.1",
        new Operation.Propose(ConfigurationVersion.NONE, withRate(5, "plans.plan")));
    assertResultStartsWith(Status.REFUSED, "refused: made for",
        new Operation.Propose(ConfigurationVersion.NONE, withRate(6)));
    assertResult(Status.REFUSED, "refused: 1.1 is still offered",
        new Operation.Propose(register.newest(), withRate(6)));
    ConfigurationVersion first = new ConfigurationVersion(1, 1);
    assertResult(Status.ACTIVATED, "in force 1.1", new Operation.Activate(first));
    assertResultStartsWith(Status.STALE, "old:", new Operation.Activate(first));
    assertResult(Status.REFUSED, "refused: pinned in epoch 1: plans.plan",
        new Operation.Propose(register.newest(), withRate(4)));
    assertResultStartsWith(Status.REFUSED, "refused: epoch 0 is over", new Operation.Propose(
        register.newest(), withRate(0).withVersion(new ConfigurationVersion(0, 0))));
    assertResult(Status.PROPOSED, "offered 2.1", new Operation.Propose(register.newest(),
        withRate(4).withVersion(new ConfigurationVersion(2, 0))));
    assertResult(Status.REJECTED, "rejected 2.1",
        new Operation.Reject(new ConfigurationVersion(2, 1), "n1", "plans.plan: reserved is more"));
    assertEquals(first, register.active().version());
    ConfigurationRegister restored = new ConfigurationRegister();
    restored.restore(register.snapshot());
    assertEquals(register.snapshot(), restored.snapshot());
  }

  /** Checks the exact text of the refusal of invalid proposals, which operators read. */
  @Test
  void refusalNamesAllFaultsOfAProposal() {
    assertResult(Status.REFUSED,
        "refused: plans.plan: a rate wants a burst above 0; limits.sendCap: at least 1; "
            + "barred and exempt: customer 7; version: epochs begin with 1",
        new Operation.Propose(ConfigurationVersion.NONE, invalidConfiguration()));
    SharedConfiguration valid = withRate(5);
    assertResult(Status.REFUSED, "refused: plans: none; frontends: none",
        new Operation.Propose(ConfigurationVersion.NONE,
            new SharedConfiguration(valid.version(), Map.of(), Map.of(), valid.limits(),
                valid.excludedServers(), valid.blockedCustomers(), valid.exemptCustomers(),
                valid.members(), valid.lockedKeys(), valid.leaseExpiryPolicy())));
  }

  /**
   * Guards against a request class whose requests are idempotent by key although app servers store
   * the keys for no time, so that retries would be executed twice.
   */
  @Test
  void idempotencyKeyWithoutTimeToLiveIsRefused() {
    SharedConfiguration valid = withRate(5);
    RequestClass read = new RequestClass(RetrySafety.IDEMPOTENT_BY_KEY, KeyScope.ALL, 0, 1, 0, 1);
    valid.requestClasses().put("read", read);
    assertResult(Status.REFUSED,
        "refused: frontends.read: target above 0, timeout no less; "
            + "frontends.read: uniqued wants remembered",
        new Operation.Propose(ConfigurationVersion.NONE, valid));
  }

  private static SharedConfiguration invalidConfiguration() {
    SharedConfiguration base = withRate(-1).withVersion(new ConfigurationVersion(0, 0));
    SharedConfiguration invalid = new SharedConfiguration(base.version(), base.quotaPlans(),
        base.requestClasses(), new SharedConfiguration.Limits(0, 0), base.excludedServers(),
        base.blockedCustomers(), base.exemptCustomers(), base.members(), base.lockedKeys(),
        base.leaseExpiryPolicy());
    invalid.blockedCustomers().add(7L);
    invalid.exemptCustomers().add(7L);
    return invalid;
  }
}
