package saltlatch.configuration;

import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import saltlatch.api.GatewaySettings;

/**
 * What an older version allows and a newer one forbids: the parts on which two nodes must not act
 * at once, one on each version. What the newer version only allows besides overlaps harmlessly.
 * docs/rules-design.md has the table.
 *
 * @param quotaPlans     names of the plans whose quota, cap or ceiling allows less
 * @param requestClasses names of the classes that may be retried less freely
 * @param servers        names of the app servers that are excluded anew
 * @param customers      those blocked anew, and those exempt no longer
 * @param fewerAttempts  whether a request may have fewer attempts
 */
public record ConfigurationConflicts(Set<String> quotaPlans, Set<String> requestClasses,
    Set<String> servers, Set<Long> customers, boolean fewerAttempts) {

  /** What the newer version forbids of the older one. */
  public static ConfigurationConflicts between(SharedConfiguration older,
      SharedConfiguration newer) {
    return new ConfigurationConflicts(
        tightened(older.quotaPlans(), newer.quotaPlans(), ConfigurationConflicts::isQuotaTighter),
        tightened(older.requestClasses(), newer.requestClasses(),
            ConfigurationConflicts::isRetryTighter),
        without(newer.excludedServers(), older.excludedServers()), changedCustomers(older, newer),
        newer.limits().maxAttempts() < older.limits().maxAttempts());
  }

  /** Names of the older entries that are gone or tighter in the newer ones. */
  private static <T> Set<String> tightened(Map<String, T> older, Map<String, T> newer,
      BiPredicate<T, T> isTighter) {
    Set<String> names = new TreeSet<>();
    older.forEach((name, entry) -> {
      T successor = newer.get(name);
      if (successor == null || isTighter.test(entry, successor)) names.add(name);
    });
    return names;
  }

  /** Whether a quota, cap or ceiling allows less; 0 stands for none at all. */
  private static boolean isQuotaTighter(GatewaySettings.QuotaPlan older,
      GatewaySettings.QuotaPlan newer) {
    return isLimitTighter(older.ratePerSecond(), newer.ratePerSecond())
        || isBurstTighter(older.ratePerSecond(), older.burstUnits(), newer.ratePerSecond(),
            newer.burstUnits())
        || isLimitTighter(older.maxConcurrent(), newer.maxConcurrent())
        || isLimitTighter(older.ceilingPerSecond(), newer.ceilingPerSecond())
        || isBurstTighter(older.ceilingPerSecond(), older.ceilingBurstUnits(),
            newer.ceilingPerSecond(), newer.ceilingBurstUnits());
  }

  private static boolean isLimitTighter(double older, double newer) {
    return newer > 0 && (older <= 0 || newer < older);
  }

  private static boolean isBurstTighter(double olderRate, double olderBurst, double newerRate,
      double newerBurst) {
    return newerRate > 0 && olderRate > 0 && newerBurst < olderBurst;
  }

  /**
   * Whether a class may be retried less freely, or its idempotency keys are remembered for a
   * shorter time or in a smaller group.
   */
  private static boolean isRetryTighter(GatewaySettings.RequestClass older,
      GatewaySettings.RequestClass newer) {
    return newer.retrySafety().ordinal() > older.retrySafety().ordinal()
        || newer.keyScope().ordinal() > older.keyScope().ordinal()
        || newer.keyTtlTicks() < older.keyTtlTicks();
  }

  private static Set<Long> changedCustomers(SharedConfiguration older, SharedConfiguration newer) {
    Set<Long> customers = without(newer.blockedCustomers(), older.blockedCustomers());
    customers.addAll(without(older.exemptCustomers(), newer.exemptCustomers()));
    return customers;
  }

  private static <T extends Comparable<T>> Set<T> without(SortedSet<T> all, SortedSet<T> excluded) {
    Set<T> rest = new TreeSet<>(all);
    rest.removeAll(excluded);
    return rest;
  }

  /**
   * Whether a decision on such a request by the older version may break the newer one. App servers
   * are not regarded: they are looked up one by one in {@link #servers}.
   */
  public boolean affects(String quotaPlan, String requestClass, long customer) {
    return fewerAttempts || quotaPlans.contains(quotaPlan) || requestClasses.contains(requestClass)
        || customers.contains(customer);
  }

  /** The keys of all that conflicts, as {@link SharedConfiguration#lockedKeys} names them. */
  public Set<String> keys() {
    Set<String> keys = new TreeSet<>();
    quotaPlans.forEach(name -> keys.add(ConfigurationKeys.quotaPlan(name)));
    requestClasses.forEach(name -> keys.add(ConfigurationKeys.requestClass(name)));
    if (!servers.isEmpty()) keys.add(ConfigurationKeys.EXCLUDED_SERVERS);
    if (!customers.isEmpty()) keys.add(ConfigurationKeys.CUSTOMERS);
    if (fewerAttempts) keys.add(ConfigurationKeys.MAX_ATTEMPTS);
    return keys;
  }
}
