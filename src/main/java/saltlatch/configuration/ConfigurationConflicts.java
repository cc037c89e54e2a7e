package saltlatch.configuration;

import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import saltlatch.api.GatewaySettings;

/**
 * The parts of a configuration in which a newer version forbids what an older one allows. Two nodes
 * must not act on these parts at the same time, one on each version. A newer version that allows
 * more causes no conflict. docs/rules-design.md lists the changes that conflict.
 *
 * @param quotaPlans     names of the plans whose quota, concurrency limit or ceiling is lower
 * @param requestClasses names of the classes whose retries are more restricted
 * @param servers        names of the app servers that only the newer version excludes
 * @param customers      customers that only the newer version blocks, or only the older one exempts
 * @param fewerAttempts  whether the newer version allows fewer attempts of a request
 */
public record ConfigurationConflicts(Set<String> quotaPlans, Set<String> requestClasses,
    Set<String> servers, Set<Long> customers, boolean fewerAttempts) {

  /** Returns the parts in which the newer version forbids what the older one allows. */
  public static ConfigurationConflicts between(SharedConfiguration older,
      SharedConfiguration newer) {
    return new ConfigurationConflicts(
        tightened(older.quotaPlans(), newer.quotaPlans(), ConfigurationConflicts::isQuotaTighter),
        tightened(older.requestClasses(), newer.requestClasses(),
            ConfigurationConflicts::isRetryTighter),
        difference(newer.excludedServers(), older.excludedServers()),
        changedCustomers(older, newer),
        newer.limits().maxAttempts() < older.limits().maxAttempts());
  }

  /** Returns the names of the older entries that the newer ones lack or tighten. */
  private static <T> Set<String> tightened(Map<String, T> older, Map<String, T> newer,
      BiPredicate<T, T> isTighter) {
    Set<String> names = new TreeSet<>();
    older.forEach((name, entry) -> {
      T successor = newer.get(name);
      if (successor == null || isTighter.test(entry, successor)) names.add(name);
    });
    return names;
  }

  /**
   * Returns whether a quota, concurrency limit or ceiling is lower; 0 means that it is unlimited.
   */
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
   * Returns whether retries of a class are more restricted, or its idempotency keys are stored for
   * a shorter time or shared by a smaller group of app servers.
   */
  private static boolean isRetryTighter(GatewaySettings.RequestClass older,
      GatewaySettings.RequestClass newer) {
    return newer.retrySafety().compareTo(older.retrySafety()) > 0
        || newer.keyScope().compareTo(older.keyScope()) > 0
        || newer.keyTtlTicks() < older.keyTtlTicks();
  }

  private static Set<Long> changedCustomers(SharedConfiguration older, SharedConfiguration newer) {
    Set<Long> customers = difference(newer.blockedCustomers(), older.blockedCustomers());
    customers.addAll(difference(older.exemptCustomers(), newer.exemptCustomers()));
    return customers;
  }

  private static <T extends Comparable<T>> Set<T> difference(SortedSet<T> minuend,
      SortedSet<T> subtrahend) {
    Set<T> difference = new TreeSet<>(minuend);
    difference.removeAll(subtrahend);
    return difference;
  }

  /**
   * Returns whether a decision on such a request by the older version may violate the newer one.
   * Ignores excluded app servers, which the caller looks up individually in {@link #servers}.
   */
  public boolean affects(String quotaPlan, String requestClass, long customer) {
    return fewerAttempts || quotaPlans.contains(quotaPlan) || requestClasses.contains(requestClass)
        || customers.contains(customer);
  }

  /** Returns the keys of all conflicting parts, as in {@link SharedConfiguration#lockedKeys}. */
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
