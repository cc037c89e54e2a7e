package saltlatch.configuration;

import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import saltlatch.api.GatewaySettings;

/**
 * Everything that the edge nodes must agree on, in one version. Maps and sets are sorted, so that
 * equal configurations have one text and one hash.
 *
 * @param version          which configuration this is
 * @param quotaPlans       quotas by the plan's name
 * @param requestClasses   classes of requests by name
 * @param limits           what the deployment allows
 * @param excludedServers  app servers, by name, that get no requests
 * @param blockedCustomers customers whose requests are rejected
 * @param exemptCustomers  customers that no quota binds
 * @param members          names of the nodes that activation waits for, where it waits
 * @param lockedKeys       keys that no later version of the same epoch may tighten; {@link
 *     ConfigurationKeys} has them
 * @param leaseExpiryPolicy     what a node does whose lease on this version has run out
 */
public record SharedConfiguration(ConfigurationVersion version,
    Map<String, GatewaySettings.QuotaPlan> quotaPlans,
    Map<String, GatewaySettings.RequestClass> requestClasses, Limits limits,
    SortedSet<String> excludedServers, SortedSet<Long> blockedCustomers,
    SortedSet<Long> exemptCustomers, SortedSet<String> members, SortedSet<String> lockedKeys,
    LeaseExpiryPolicy leaseExpiryPolicy) {

  /**
   * Limits of the whole deployment.
   *
   * @param maxAttempts        attempts of one request at most
   * @param maxRetryAfterTicks the longest Retry-After that clients get
   */
  public record Limits(int maxAttempts, long maxRetryAfterTicks) {}

  /** What happens while a later version may have become active unknown to a node. */
  public enum LeaseExpiryPolicy {
    /** The node rejects the requests that the later version may forbid. */
    REJECT_REQUESTS,
    /** No later version is activated before every member has prepared it. */
    DELAY_ACTIVATION
  }

  /** Copies maps and sets into sorted ones. */
  public SharedConfiguration {
    quotaPlans = new TreeMap<>(quotaPlans);
    requestClasses = new TreeMap<>(requestClasses);
    excludedServers = new TreeSet<>(excludedServers);
    blockedCustomers = new TreeSet<>(blockedCustomers);
    exemptCustomers = new TreeSet<>(exemptCustomers);
    members = new TreeSet<>(members);
    lockedKeys = new TreeSet<>(lockedKeys);
  }

  /** Whether no later version of this epoch forbids what this one allows of such requests. */
  public boolean isLocked(String quotaPlan, String requestClass) {
    return lockedKeys.contains(ConfigurationKeys.quotaPlan(quotaPlan))
        && lockedKeys.contains(ConfigurationKeys.requestClass(requestClass))
        && lockedKeys.contains(ConfigurationKeys.CUSTOMERS)
        && lockedKeys.contains(ConfigurationKeys.MAX_ATTEMPTS);
  }

  /** Whether no later version of this epoch excludes further app servers. */
  public boolean areServersLocked() {
    return lockedKeys.contains(ConfigurationKeys.EXCLUDED_SERVERS);
  }

  /** The same configuration under another version. */
  public SharedConfiguration withVersion(ConfigurationVersion other) {
    return new SharedConfiguration(other, quotaPlans, requestClasses, limits, excludedServers,
        blockedCustomers, exemptCustomers, members, lockedKeys, leaseExpiryPolicy);
  }

  /** What is wrong with this configuration by itself, each with its key; empty if nothing is. */
  public List<String> faults() {
    return ConfigurationValidator.faults(this);
  }
}
