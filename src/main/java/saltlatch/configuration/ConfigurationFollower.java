package saltlatch.configuration;

import java.util.List;
import java.util.SplittableRandom;

/**
 * An edge node's side of the shared configuration: which version it acts on, which it has prepared,
 * and until when it holds a lease. The quorum's responses and ticks of the clock go in, renewals
 * and activations come out; no I/O.
 *
 * <p>Invariants: the active version never goes back; a lease is counted from when the node sent the
 * renewal that confirmed the version, so that neither a slow response nor a pause of the node's own
 * makes an old version last.
 *
 * <p>Owned by the node's event loop; times are ticks of the node's clock.
 */
public class ConfigurationFollower {
  /** What the follower asks of its node. */
  public interface Actions {
    /** Sends a renewal to any server of the quorum; the number comes back with the response. */
    void renew(long number, LeaseRenewal renewal);

    /**
     * Acts on this version from now on.
     *
     * @param conflicts what it forbids of the version before; null for the first one
     */
    void activated(SharedConfiguration configuration, ConfigurationConflicts conflicts);
  }

  /** The node's own check of a proposed configuration against its live state. */
  public interface LocalCheck {
    /**
     * What speaks against the proposed configuration, with its key; null if nothing does.
     *
     * @param active null before the first one
     */
    String objectionTo(SharedConfiguration active, SharedConfiguration proposed);
  }

  private static final long NEVER_TICKS = Long.MIN_VALUE / 2;

  private final String node;
  private final LeaseTimings timings;
  private final SplittableRandom random;
  private final LocalCheck localCheck;
  private final Actions actions;
  private SharedConfiguration active; // null: none yet
  private SharedConfiguration prepared; // null: none
  private ConfigurationVersion rejected; // null: none
  private String rejectionReason;
  private long renewalNumber; // of the last renewal sent
  private long sentAtTicks = NEVER_TICKS; // of the renewal without a response; NEVER_TICKS: none
  private long leaseUntilTicks = NEVER_TICKS;
  private long nextRenewalAtTicks;

  /**
   * Begins without a lease; the first renewal is due at once.
   *
   * @param lastActive the last active version that the node stored, or null; the node holds no
   *     lease on it before the quorum confirms it
   * @param seed       of the renewals' jitter
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

  /** The version that the node acts on; null before the first one. */
  public SharedConfiguration active() {
    return active;
  }

  /**
   * Whether the active version is still the quorum's, as far as a lease can say. To be asked
   * before each batch of decisions.
   */
  public boolean holdsLease(long nowTicks) {
    return active != null && nowTicks < leaseUntilTicks;
  }

  /** When the lease ends; in the far past before the first one. */
  public long leaseUntilTicks() {
    return leaseUntilTicks;
  }

  /**
   * Without a lease: whether a decision on such a request may break a version that has become
   * active meanwhile. Where activation waits for this node, only what it has prepared can have
   * become active; else any version of this epoch, which may forbid all but what is locked.
   */
  public boolean mayConflict(String quotaPlan, String requestClass, long customer) {
    if (active == null) return true;
    if (doesActivationWaitForThisNode())
      return prepared != null && preparedConflicts().affects(quotaPlan, requestClass, customer);
    return !active.isLocked(quotaPlan, requestClass);
  }

  /** Without a lease: whether this app server may have been excluded meanwhile. */
  public boolean mayBeExcluded(String server) {
    if (active == null) return true;
    if (doesActivationWaitForThisNode())
      return prepared != null && preparedConflicts().servers().contains(server);
    return !active.areServersLocked();
  }

  /**
   * Whether nothing becomes active without this node: neither the successor of the active version
   * nor that of the prepared one.
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

  /** When {@link #tick} is due next. */
  public long nextRenewalAtTicks() {
    return nextRenewalAtTicks;
  }

  /** Sends the renewal that is due, if one is. */
  public void tick(long nowTicks) {
    if (nowTicks < nextRenewalAtTicks) return;
    nextRenewalAtTicks = timings.nextRenewalAtTicks(nowTicks, random.nextDouble());
    sentAtTicks = nowTicks;
    actions.renew(++renewalNumber,
        new LeaseRenewal(node, versionOf(active), versionOf(prepared), rejected, rejectionReason));
  }

  private static ConfigurationVersion versionOf(SharedConfiguration configuration) {
    return configuration == null ? ConfigurationVersion.NONE : configuration.version();
  }

  /**
   * Takes in the response to the renewal of that number. A late one, and one of a server whose
   * state is older than the node's, change nothing.
   */
  public void responseReceived(long nowTicks, long number, LeaseResponse response) {
    if (number != renewalNumber || sentAtTicks == NEVER_TICKS) return;
    long renewalSentAtTicks = sentAtTicks;
    sentAtTicks = NEVER_TICKS;
    // Guards against a server that was set back to an old state: its version is older than the
    // node's, and to confirm that would take the node back.
    if (versionOf(active).isAfter(response.activeVersion())) return;
    if (response.activeVersion().isAfter(versionOf(active))) {
      SharedConfiguration successor = successor(response);
      if (successor == null) return;
      activate(successor);
    }
    leaseUntilTicks = Math.max(leaseUntilTicks,
        leaseStartTicks(renewalSentAtTicks, nowTicks) + timings.leaseTicks());
    if (response.proposed() == null) forgetProposal();
    else prepare(nowTicks, response.proposed());
  }

  /** The configuration that has become active; null where its text comes with a later response. */
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
   * From when a lease counts. Guards against a response that was long on its way: the quorum may
   * have activated another version since, and a lease counted from its receipt would outlast what
   * {@link LeaseTimings#maxConflictTicks} states.
   */
  long leaseStartTicks(long renewalSentAtTicks, long receivedAtTicks) {
    return renewalSentAtTicks;
  }

  /** The proposed version was withdrawn, or has become active. */
  private void forgetProposal() {
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
    nextRenewalAtTicks = nowTicks; // the leader waits for this node's verdict
  }
}
