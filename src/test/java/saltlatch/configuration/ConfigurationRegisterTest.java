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

class ConfigurationRegisterTest {
  private final ConfigurationRegister register = new ConfigurationRegister();

  private static SharedConfiguration withRate(double ratePerSecond, String... lockedKeys) {
    return Configurations.withRate(ratePerSecond, LeaseExpiryPolicy.REJECT_REQUESTS, lockedKeys);
  }

  private void assertResult(Status status, String description, Operation operation) {
    assertEquals(new OperationResult(status, description), register.apply(operation));
  }

  private void assertResultBegins(Status status, String begin, Operation operation) {
    OperationResult result = register.apply(operation);
    assertEquals(status, result.status());
    assertTrue(result.description().startsWith(begin), result.description());
  }

  /**
   * An old version sent again, a proposal made without knowledge of the newest one, a second
   * proposal at once, a locked key that is tightened and an epoch that is over: each is refused
   * with its reason, and changes nothing.
   */
  @Test
  void neverGoesBack() {
    assertResult(Status.PROPOSED, "offered 1.1",
        new Operation.Propose(ConfigurationVersion.NONE, withRate(5, "plans.plan")));
    assertResultBegins(Status.REFUSED, "refused: made for",
        new Operation.Propose(ConfigurationVersion.NONE, withRate(6)));
    assertResult(Status.REFUSED, "refused: 1.1 is still offered",
        new Operation.Propose(register.newest(), withRate(6)));
    ConfigurationVersion first = new ConfigurationVersion(1, 1);
    assertResult(Status.ACTIVATED, "in force 1.1", new Operation.Activate(first));
    assertResultBegins(Status.STALE, "old:", new Operation.Activate(first));
    assertResult(Status.REFUSED, "refused: pinned in epoch 1: plans.plan",
        new Operation.Propose(register.newest(), withRate(4)));
    assertResultBegins(Status.REFUSED, "refused: epoch 0 is over", new Operation.Propose(
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

  /** What the register says of each proposal that is wrong by itself, word for word. */
  @Test
  void faultsOfAProposal() {
    assertResult(Status.REFUSED,
        "refused: plans.plan: a rate wants a burst above 0; limits.sendCap: at least 1; "
            + "barred and exempt: customer 7; version: epochs begin with 1",
        new Operation.Propose(ConfigurationVersion.NONE, faulty()));
    SharedConfiguration good = withRate(5);
    assertResult(Status.REFUSED, "refused: plans: none; frontends: none",
        new Operation.Propose(ConfigurationVersion.NONE,
            new SharedConfiguration(good.version(), Map.of(), Map.of(), good.limits(),
                good.excludedServers(), good.blockedCustomers(), good.exemptCustomers(),
                good.members(), good.lockedKeys(), good.leaseExpiryPolicy())));
  }

  /** A class whose requests are idempotent by a key that no app server remembers. */
  @Test
  void keyWithoutTimeToLive() {
    SharedConfiguration good = withRate(5);
    RequestClass read = new RequestClass(RetrySafety.IDEMPOTENT_BY_KEY, KeyScope.ALL, 0, 1, 0, 1);
    good.requestClasses().put("read", read);
    assertResult(Status.REFUSED,
        "refused: frontends.read: target above 0, timeout no less; "
            + "frontends.read: uniqued wants remembered",
        new Operation.Propose(ConfigurationVersion.NONE, good));
  }

  private static SharedConfiguration faulty() {
    SharedConfiguration good = withRate(-1).withVersion(new ConfigurationVersion(0, 0));
    SharedConfiguration faulty = new SharedConfiguration(good.version(), good.quotaPlans(),
        good.requestClasses(), new SharedConfiguration.Limits(0, 0), good.excludedServers(),
        good.blockedCustomers(), good.exemptCustomers(), good.members(), good.lockedKeys(),
        good.leaseExpiryPolicy());
    faulty.blockedCustomers().add(7L);
    faulty.exemptCustomers().add(7L);
    return faulty;
  }
}
