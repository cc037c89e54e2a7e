package saltlatch.configuration;

import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import saltlatch.api.GatewaySettings;

/**
 * A version of the configuration that all edge nodes share. Maps and sets are sorted, so that equal
 * configurations have the same text and the same hash.
 *
 * @param version           the version of this configuration
 * @param quotaPlans        quota plans by name
 * @param requestClasses    request classes by name
 * @param limits            limits of the deployment
 * @param excludedServers   names of the app servers that receive no requests
 * @param blockedCustomers  customers whose requests are rejected
 * @param exemptCustomers   customers to whom no quota applies
 * @param members           names of the nodes for which the activation of a successor waits, if the
 *     policy is to delay activation or the successor has a newer epoch
 * @param lockedKeys        keys, from {@link ConfigurationKeys}, that no later version of the same
 *     epoch may tighten
 * @param leaseExpiryPolicy what happens after a node's lease on this version has expired
 */
public record SharedConfiguration(ConfigurationVersion version,
    Map<String, GatewaySettings.QuotaPlan> quotaPlans,
    Map<String, GatewaySettings.RequestClass> requestClasses, Limits limits,
    SortedSet<String> excludedServers, SortedSet<Long> blockedCustomers,
    SortedSet<Long> exemptCustomers, SortedSet<String> members, SortedSet<String> lockedKeys,
    LeaseExpiryPolicy leaseExpiryPolicy) {

  /**
   * The limits of a deployment.
   *
   * @param maxAttempts        the largest number of attempts of a request
   * @param maxRetryAfterTicks the longest Retry-After that clients receive
   */
  public record Limits(int maxAttempts, long maxRetryAfterTicks) {}

  /**
   * What happens while a node has no lease, so that a later version may have become active without
   * the node having been notified.
   */
  public enum LeaseExpiryPolicy {
    /** The node rejects the requests that the later version may forbid. */
    REJECT_REQUESTS,
    /** No later version is activated before all members have prepared it. */
    DELAY_ACTIVATION
  }

  /** Copies all maps and sets into sorted ones. */
  public SharedConfiguration {
    quotaPlans = new TreeMap<>(quotaPlans);
    requestClasses = new TreeMap<>(requestClasses);
    excludedServers = new TreeSet<>(excludedServers);
    blockedCustomers = new TreeSet<>(blockedCustomers);
    exemptCustomers = new TreeSet<>(exemptCustomers);
    members = new TreeSet<>(members);
    lockedKeys = new TreeSet<>(lockedKeys);
  }

  /**
   * Returns whether the locks ensure that each later version of this epoch allows at least what
   * this one allows for such requests.
   */
  public boolean isLocked(String quotaPlan, String requestClass) {
    return lockedKeys.contains(ConfigurationKeys.quotaPlan(quotaPlan))
        && lockedKeys.contains(ConfigurationKeys.requestClass(requestClass))
        && lockedKeys.contains(ConfigurationKeys.CUSTOMERS)
        && lockedKeys.contains(ConfigurationKeys.MAX_ATTEMPTS);
  }

  /**
   * Returns whether the locks ensure that no later version of this epoch excludes additional app
   * servers.
   */
  public boolean areServersLocked() {
    return lockedKeys.contains(ConfigurationKeys.EXCLUDED_SERVERS);
  }

  /** Returns a copy of this configuration with another version. */
  public SharedConfiguration withVersion(ConfigurationVersion other) {
    return new SharedConfiguration(other, quotaPlans, requestClasses, limits, excludedServers,
        blockedCustomers, exemptCustomers, members, lockedKeys, leaseExpiryPolicy);
  }

  /** Returns the faults of this configuration, each with its key; empty if it is valid. */
  public List<String> faults() {
    return ConfigurationValidator.faults(this);
  }
}
