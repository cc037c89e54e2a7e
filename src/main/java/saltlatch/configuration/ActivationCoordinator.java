package saltlatch.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides, in the quorum's leader and from the nodes' renewals, when the proposed version is
 * activated or rejected, and for which nodes the activation waits. Its state is not replicated.
 * Does no I/O.
 *
 * <p>Invariant: a version is activated only after every node that may hold a lease has prepared it.
 * A new leader has not received any renewals, so it activates no version before all leases that its
 * predecessor may have granted have expired.
 *
 * <p>Owned by one thread; times are ticks of the leader's clock.
 */
public final class ActivationCoordinator {
  private record ReceivedRenewal(LeaseRenewal renewal, long receivedAtTicks) {
    boolean hasPrepared(SharedConfiguration proposed) {
      return renewal.prepared().equals(proposed.version());
    }
  }

  /**
   * The status of a node according to its last renewal.
   *
   * @param node            the node's name
   * @param active          the version that the node acts on
   * @param prepared        the proposed version that the node has prepared
   * @param reason          why the node rejects the proposed version; null if it does not
   * @param renewalAgeTicks the time since the last renewal
   * @param live            whether the node may still hold a lease
   */
  public record NodeStatus(String node, ConfigurationVersion active, ConfigurationVersion prepared,
      String reason, long renewalAgeTicks, boolean live) {}

  private final LeaseTimings timings;
  private final Map<String, ReceivedRenewal> renewals = new TreeMap<>(); // last one of each node
  private long leaderSinceTicks;

  /** Creates a coordinator for a leader whose term starts now. */
  public ActivationCoordinator(LeaseTimings timings, long nowTicks) {
    this.timings = timings;
    leaderSinceTicks = nowTicks;
  }

  /** Starts a new term as leader; discards the renewals received in an earlier term. */
  public void becameLeader(long nowTicks) {
    renewals.clear();
    leaderSinceTicks = nowTicks;
  }

  /** Stores a node's renewal, which replaces the previous one. */
  public void renewalReceived(long nowTicks, LeaseRenewal renewal) {
    renewals.put(renewal.node(), new ReceivedRenewal(renewal, nowTicks));
  }

  private boolean mayHoldLease(ReceivedRenewal received, long nowTicks) {
    return nowTicks - received.receivedAtTicks <= timings.leaseExpiryTicks();
  }

  /**
   * Returns the nodes for which the activation waits: each node that may hold a lease and has not
   * prepared the proposed version, and, if the activation waits for all members, each member that
   * has not prepared it.
   *
   * @param active null before the first activation
   */
  public List<String> blockingNodes(long nowTicks, SharedConfiguration active,
      SharedConfiguration proposed) {
    List<String> blocking = new ArrayList<>();
    renewals.forEach((node, received) -> {
      if (mayHoldLease(received, nowTicks) && !received.hasPrepared(proposed)) blocking.add(node);
    });
    if (active == null || !waitsForAllMembers(active, proposed)) return blocking;
    for (String node : active.members()) {
      ReceivedRenewal received = renewals.get(node);
      boolean prepared = received != null && received.hasPrepared(proposed);
      if (!prepared && !blocking.contains(node)) blocking.add(node);
    }
    return blocking;
  }

  private static boolean waitsForAllMembers(SharedConfiguration active,
      SharedConfiguration proposed) {
    // A new epoch ends the locks, on which nodes without a lease rely when they continue to accept
    // requests.
    return active.leaseExpiryPolicy() == SharedConfiguration.LeaseExpiryPolicy.DELAY_ACTIVATION
        || proposed.version().epoch() > active.version().epoch();
  }

  /**
   * Returns the operation to apply to the proposed version; null while the activation waits.
   *
   * @param active   null before the first activation
   * @param proposed null if there is none
   */
  public ConfigurationRegister.Operation nextOperation(long nowTicks, SharedConfiguration active,
      SharedConfiguration proposed) {
    if (proposed == null) return null;
    for (ReceivedRenewal received : renewals.values()) {
      LeaseRenewal renewal = received.renewal;
      if (proposed.version().equals(renewal.rejected())) {
        return new ConfigurationRegister.Operation.Reject(proposed.version(), renewal.node(),
            renewal.reason());
      }
    }
    // A node that has not renewed its lease in this term may still hold one of the previous term.
    // If a new leader ignored it, the node would act on the older version while others act on the
    // newer one.
    if (nowTicks - leaderSinceTicks <= timings.leaseExpiryTicks()) return null;
    return blockingNodes(nowTicks, active, proposed).isEmpty()
        ? new ConfigurationRegister.Operation.Activate(proposed.version()) : null;
  }

  /** Returns the status of each node that has renewed its lease in this term, sorted by name. */
  public List<NodeStatus> nodeStatuses(long nowTicks) {
    List<NodeStatus> statuses = new ArrayList<>();
    renewals.forEach((node, received) -> {
      LeaseRenewal renewal = received.renewal;
      statuses.add(new NodeStatus(node, renewal.active(), renewal.prepared(), renewal.reason(),
          nowTicks - received.receivedAtTicks, mayHoldLease(received, nowTicks)));
    });
    return statuses;
  }
}
