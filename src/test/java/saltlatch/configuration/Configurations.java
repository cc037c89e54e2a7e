package saltlatch.configuration;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.QuotaPlan;
import saltlatch.api.GatewaySettings.RequestClass;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.configuration.SharedConfiguration.LeaseExpiryPolicy;

/** Creates configurations with one quota plan, one request class and the members n0 to n2. */
final class Configurations {
  private Configurations() {}

  static SharedConfiguration withRate(double ratePerSecond, LeaseExpiryPolicy leaseExpiryPolicy,
      String... lockedKeys) {
    RequestClass read = new RequestClass(RetrySafety.IDEMPOTENT, KeyScope.ALL, 0, 1_000, 2_000, 1);
    return new SharedConfiguration(new ConfigurationVersion(1, 0),
        Map.of("plan", new QuotaPlan(ratePerSecond, 4 * ratePerSecond, 0, 0, 0, 1)),
        Map.of("read", read), new SharedConfiguration.Limits(4, 1_000), new TreeSet<>(),
        new TreeSet<>(), new TreeSet<>(), new TreeSet<>(List.of("n0", "n1", "n2")),
        new TreeSet<>(List.of(lockedKeys)), leaseExpiryPolicy);
  }
}
