package saltlatch.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides in the quorum's leader, from the nodes' renewals, when the proposed version is activated
 * or rejected, and for which nodes it waits. Its state is not replicated. No I/O.
 *
 * <p>Invariant: a version is activated only once every node that may hold a lease has prepared it.
 * A new leader has received no renewals yet, so it activates nothing before every lease that its
 * predecessor may have granted has run out.
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
   * A node as the leader knows it.
   *
   * @param active         the version it acts on
   * @param prepared       the proposed version it could act on
   * @param reason         why it rejects the proposed version, or null
   * @param renewalAgeTicks since its last renewal
   * @param live           whether it may still hold a lease
   */
  public record NodeStatus(String node, ConfigurationVersion active, ConfigurationVersion prepared,
      String reason, long renewalAgeTicks, boolean live) {}

  private final LeaseTimings timings;
  private final Map<String, ReceivedRenewal> renewals = new TreeMap<>(); // the last, by node
  private long leaderSinceTicks;

  /** Leads from now on. */
  public ActivationCoordinator(LeaseTimings timings, long nowTicks) {
    this.timings = timings;
    leaderSinceTicks = nowTicks;
  }

  /** Leads anew from now on; what it received in an earlier term is forgotten. */
  public void becameLeader(long nowTicks) {
    renewals.clear();
    leaderSinceTicks = nowTicks;
  }

  /** Takes in a node's renewal. */
  public void renewalReceived(long nowTicks, LeaseRenewal renewal) {
    renewals.put(renewal.node(), new ReceivedRenewal(renewal, nowTicks));
  }

  private boolean mayHoldLease(ReceivedRenewal received, long nowTicks) {
    return nowTicks - received.receivedAtTicks <= timings.leaseExpiryTicks();
  }

  /**
   * The nodes for which the activation waits: those that may hold a lease and have not prepared the
   * proposed version, and all other members where it waits for all.
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
    // A new epoch lifts the locks by which nodes without a lease go on deciding.
    return active.leaseExpiryPolicy() == SharedConfiguration.LeaseExpiryPolicy.DELAY_ACTIVATION
        || proposed.version().epoch() > active.version().epoch();
  }

  /**
   * The operation that is due on the proposed version; null while it waits.
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
    // Guards against a new leader that takes nodes that have not renewed yet for dead: one of them
    // may hold a lease of the term before and would act on the older version beside the newer one.
    if (nowTicks - leaderSinceTicks <= timings.leaseExpiryTicks()) return null;
    return blockingNodes(nowTicks, active, proposed).isEmpty()
        ? new ConfigurationRegister.Operation.Activate(proposed.version()) : null;
  }

  /** Every node that has renewed in this term, by name. */
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
