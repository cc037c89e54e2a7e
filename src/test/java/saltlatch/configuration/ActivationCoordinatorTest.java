package saltlatch.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import saltlatch.configuration.SharedConfiguration.LeaseExpiryPolicy;

/** Tests the rejection of a proposed version. */
class ActivationCoordinatorTest {
  private static final LeaseTimings TIMINGS = new LeaseTimings(LeaseTimings.DEFAULT_RENEWAL_TICKS);

  /**
   * Guards against the activation of a version on which a node can't act: the version's quota is
   * below the units that the node has reserved. The version must be rejected with the node's
   * reason, and the active version, here none, must not change.
   */
  @Test
  void versionThatOneNodeRejectsIsNotActivated() {
    ConfigurationRegister register = new ConfigurationRegister();
    ActivationCoordinator coordinator = new ActivationCoordinator(TIMINGS, 0);
    register.apply(new ConfigurationRegister.Operation.Propose(ConfigurationVersion.NONE,
        Configurations.withRate(5, LeaseExpiryPolicy.REJECT_REQUESTS)));
    ConfigurationVersion version = register.proposed().version();
    long nowTicks = TIMINGS.leaseExpiryTicks() + 1;
    coordinator.renewalReceived(nowTicks,
        new LeaseRenewal("n0", ConfigurationVersion.NONE, version, null, null));
    coordinator.renewalReceived(nowTicks, new LeaseRenewal("n1", ConfigurationVersion.NONE,
        ConfigurationVersion.NONE, version, "plans.plan: 60 units are reserved"));
    ConfigurationRegister.Operation operation = coordinator.nextOperation(nowTicks, null,
        register.proposed());
    OperationResult result = register.apply(operation);
    assertEquals(OperationResult.Status.REJECTED, result.status());
    assertEquals("rejected 1.1", result.description());
    assertEquals(null, register.active());
    assertEquals("n1: plans.plan: 60 units are reserved",
        register.snapshot().outcomes().get(0).reason());
    assertFalse(coordinator.nodeStatuses(nowTicks).isEmpty());
  }
}
