package saltlatch.configuration;

import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewaySettings;

/**
 * Validates a configuration on its own, without comparing it to other versions. Each fault begins
 * with the key that it concerns. Operators read the faults, so they use the keys and words of the
 * configuration's text.
 */
final class ConfigurationValidator {
  private static final long FIRST_EPOCH = 1;

  private final List<String> faults = new ArrayList<>();

  private ConfigurationValidator() {}

  static List<String> faults(SharedConfiguration configuration) {
    ConfigurationValidator validator = new ConfigurationValidator();
    if (configuration.quotaPlans().isEmpty()) validator.add(ConfigurationKeys.QUOTA_PLANS, "none");
    if (configuration.requestClasses().isEmpty())
      validator.add(ConfigurationKeys.REQUEST_CLASSES, "none");
    configuration.quotaPlans().forEach(validator::checkQuotaPlan);
    configuration.requestClasses().forEach(validator::checkRequestClass);
    if (configuration.limits().maxAttempts() < 1)
      validator.add("limits." + ConfigurationKeys.MAX_ATTEMPTS, "at least 1");
    validator.checkCustomers(configuration);
    if (configuration.version().epoch() < FIRST_EPOCH)
      validator.add("version", "epochs begin with 1");
    return validator.faults;
  }

  private void add(String key, String fault) {
    faults.add(key + ": " + fault);
  }

  private void checkQuotaPlan(String name, GatewaySettings.QuotaPlan plan) {
    String key = ConfigurationKeys.quotaPlan(name);
    // These comparisons are negated so that NaN is a fault as well.
    if (!(plan.ratePerSecond() >= 0) || (plan.ratePerSecond() > 0 && !(plan.burstUnits() > 0)))
      add(key, "a rate wants a burst above 0");
    if (plan.ceilingPerSecond() < 0 || plan.ceilingBurstUnits() < 0 || plan.maxConcurrent() < 0)
      add(key, "below 0");
  }

  private void checkRequestClass(String name, GatewaySettings.RequestClass requestClass) {
    String key = ConfigurationKeys.requestClass(name);
    if (requestClass.latencyObjectiveTicks() <= 0
        || requestClass.clientTimeoutTicks() < requestClass.latencyObjectiveTicks())
      add(key, "target above 0, timeout no less");
    if (requestClass.retrySafety() == GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY
        && requestClass.keyTtlTicks() <= 0)
      add(key, ConfigurationKeys.IDEMPOTENT_BY_KEY + " wants " + ConfigurationKeys.KEY_TTL);
  }

  private void checkCustomers(SharedConfiguration configuration) {
    for (long customer : configuration.blockedCustomers()) {
      if (configuration.exemptCustomers().contains(customer))
        add("barred and exempt", "customer " + Long.toHexString(customer));
    }
  }
}
