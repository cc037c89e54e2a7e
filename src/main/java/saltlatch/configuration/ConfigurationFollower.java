package saltlatch.configuration;

import java.util.List;
import java.util.SplittableRandom;

/**
 * An edge node's side of the shared configuration: which version the node acts on, which version it
 * has prepared, and until when it holds a lease. Its inputs are the quorum's responses and clock
 * ticks, its outputs are renewals and activations. Does no I/O.
 *
 * <p>Invariants: the active version is never replaced by an older one; a lease is counted from when
 * the node sent the renewal that confirmed the version, so that neither a slow response nor a pause
 * of the node extends the time for which it acts on an old version.
 *
 * <p>Owned by the node's event loop; times are ticks of the node's clock.
 */
public class ConfigurationFollower {
  /** The actions that the follower requests from its node. */
  public interface Actions {
    /**
     * Sends a renewal to any server of the quorum.
     *
     * @param number identifies the renewal; to be passed to {@link #responseReceived}
     */
    void renew(long number, LeaseRenewal renewal);

    /**
     * Notifies the node that it acts on this version from now on.
     *
     * @param conflicts the conflicts with the previous version; null for the first version
     */
    void activated(SharedConfiguration configuration, ConfigurationConflicts conflicts);
  }

  /** The node's own check of a proposed configuration against its live state. */
  public interface LocalCheck {
    /**
     * Returns why the node can't act on the proposed configuration, with the key; null if it can.
     *
     * @param active null before the first activation
     */
    String objectionTo(SharedConfiguration active, SharedConfiguration proposed);
  }

  private static final long NEVER_TICKS = Long.MIN_VALUE / 2;

  private final String node;
  private final LeaseTimings timings;
  private final SplittableRandom random;
  private final LocalCheck localCheck;
  private final Actions actions;
  private SharedConfiguration active; // null before the first activation
  private SharedConfiguration prepared; // null if there is none
  private ConfigurationVersion rejected; // null if there is none
  private String rejectionReason;
  private long renewalNumber; // of the last renewal sent
  private long pendingSentAtTicks = NEVER_TICKS; // NEVER_TICKS if no renewal awaits a response
  private long leaseUntilTicks = NEVER_TICKS;
  private long nextRenewalAtTicks;

  /**
   * Creates a follower without a lease, whose first renewal is due immediately.
   *
   * @param lastActive the last active version that the node stored, or null; the node holds no
   *     lease on it before the quorum confirms it
   * @param seed       seed of the renewals' jitter
   */
  public ConfigurationFollower(String node, LeaseTimings timings, SharedConfiguration lastActive,
      long seed, long nowTicks, LocalCheck localCheck, Actions actions) {
    this.node = node;
    this.timings = timings;
    this.localCheck = localCheck;
    this.actions = actions;
    active = lastActive;
    random = new SplittableRandom(seed);
    nextRenewalAtTicks = nowTicks;
  }

  /** Returns the version that the node acts on; null before the first activation. */
  public SharedConfiguration active() {
    return active;
  }

  /**
   * Returns whether the node holds a lease on its active version, which means that it may act on
   * the version without a check for conflicts. Callers check this before each batch of decisions.
   */
  public boolean holdsLease(long nowTicks) {
    return active != null && nowTicks < leaseUntilTicks;
  }

  /** Returns when the lease expires; a time in the far past before the first lease. */
  public long leaseUntilTicks() {
    return leaseUntilTicks;
  }

  /**
   * Returns, for a node without a lease, whether a decision on such a request may violate a version
   * that has become active in the meantime. If activation waits for this node, only the version
   * that it has prepared can have become active. Otherwise any later version of this epoch can
   * have, and it may tighten every key that is not locked.
   */
  public boolean mayConflict(String quotaPlan, String requestClass, long customer) {
    if (active == null) return true;
    if (doesActivationWaitForThisNode())
      return prepared != null && preparedConflicts().affects(quotaPlan, requestClass, customer);
    return !active.isLocked(quotaPlan, requestClass);
  }

  /**
   * Returns, for a node without a lease, whether this app server may have been excluded in the
   * meantime.
   */
  public boolean mayBeExcluded(String server) {
    if (active == null) return true;
    if (doesActivationWaitForThisNode())
      return prepared != null && preparedConflicts().servers().contains(server);
    return !active.areServersLocked();
  }

  /**
   * Returns whether no version can become active before this node has prepared it: neither the
   * successor of the active version nor the successor of the prepared one.
   */
  private boolean doesActivationWaitForThisNode() {
    return successorWaitsForThisNode(active)
        && (prepared == null || successorWaitsForThisNode(prepared));
  }

  private boolean successorWaitsForThisNode(SharedConfiguration configuration) {
    return configuration
        .leaseExpiryPolicy() == SharedConfiguration.LeaseExpiryPolicy.DELAY_ACTIVATION
        && configuration.members().contains(node);
  }

  private ConfigurationConflicts preparedConflicts() {
    return ConfigurationConflicts.between(active, prepared);
  }

  /** Returns when {@link #tick} is due next. */
  public long nextRenewalAtTicks() {
    return nextRenewalAtTicks;
  }

  /** Sends a renewal if one is due. */
  public void tick(long nowTicks) {
    if (nowTicks < nextRenewalAtTicks) return;
    nextRenewalAtTicks = timings.nextRenewalAtTicks(nowTicks, random.nextDouble());
    pendingSentAtTicks = nowTicks;
    actions.renew(++renewalNumber,
        new LeaseRenewal(node, versionOf(active), versionOf(prepared), rejected, rejectionReason));
  }

  private static ConfigurationVersion versionOf(SharedConfiguration configuration) {
    return configuration == null ? ConfigurationVersion.NONE : configuration.version();
  }

  /**
   * Processes the response to a renewal. Ignores a response that arrives after the next renewal was
   * sent, and one from a server whose state is older than the node's.
   *
   * @param number the number of the renewal
   */
  public void responseReceived(long nowTicks, long number, LeaseResponse response) {
    if (number != renewalNumber || pendingSentAtTicks == NEVER_TICKS) return;
    long renewalSentAtTicks = pendingSentAtTicks;
    pendingSentAtTicks = NEVER_TICKS;
    // A server that was restored to an old state may report an older version than the node's. The
    // node must not return to that version.
    if (versionOf(active).isAfter(response.activeVersion())) return;
    if (response.activeVersion().isAfter(versionOf(active))) {
      SharedConfiguration successor = successor(response);
      if (successor == null) return;
      activate(successor);
    }
    leaseUntilTicks = Math.max(leaseUntilTicks,
        leaseStartTicks(renewalSentAtTicks, nowTicks) + timings.leaseTicks());
    if (response.proposed() == null) discardProposal();
    else prepare(nowTicks, response.proposed());
  }

  /**
   * Returns the configuration that has become active; null if neither the node nor this response
   * has it, in which case a later response contains it.
   */
  private SharedConfiguration successor(LeaseResponse response) {
    boolean isPrepared = prepared != null && prepared.version().equals(response.activeVersion());
    SharedConfiguration successor = isPrepared ? prepared : response.active();
    return successor == null || !successor.version().equals(response.activeVersion()) ? null
        : successor;
  }

  private void activate(SharedConfiguration successor) {
    ConfigurationConflicts conflicts = active == null ? null
        : ConfigurationConflicts.between(active, successor);
    active = successor;
    if (prepared != null && !prepared.version().isAfter(active.version())) prepared = null;
    actions.activated(active, conflicts);
  }

  /**
   * Returns the start of a lease: the time at which the renewal was sent. While a slow response was
   * in transit, the quorum may have activated another version. If the lease were counted from the
   * response's receipt, the node could act on a conflicting version for longer than {@link
   * LeaseTimings#maxConflictTicks}.
   */
  long leaseStartTicks(long renewalSentAtTicks, long receivedAtTicks) {
    return renewalSentAtTicks;
  }

  /** Discards the proposed version, which has been withdrawn or has become active. */
  private void discardProposal() {
    prepared = null;
    rejected = null;
    rejectionReason = null;
  }

  private void prepare(long nowTicks, SharedConfiguration proposed) {
    ConfigurationVersion version = proposed.version();
    if (active != null && !version.isAfter(active.version())) return;
    boolean isPrepared = prepared != null && prepared.version().equals(version);
    if (isPrepared || version.equals(rejected)) return;
    List<String> faults = proposed.faults();
    rejectionReason = faults.isEmpty() ? localCheck.objectionTo(active, proposed)
        : String.join("; ", faults);
    prepared = rejectionReason == null ? proposed : null;
    rejected = rejectionReason == null ? null : version;
    nextRenewalAtTicks = nowTicks; // the leader waits for the result of this check
  }
}
