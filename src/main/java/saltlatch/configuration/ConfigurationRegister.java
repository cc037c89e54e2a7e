package saltlatch.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The state machine that the quorum replicates: which version is active, which is proposed, and
 * what became of the others. Deterministic and without I/O, so that the same operations in the same
 * order give the same state at every server and after every start.
 *
 * <p>Invariants: versions only grow; at most one version is proposed at a time; a version becomes
 * active only from being proposed; within an epoch no active version tightens a key that an earlier
 * active one locked.
 *
 * <p>Owned by the thread that applies the replicated log.
 */
public final class ConfigurationRegister {
  private static final int MAX_OUTCOMES = 64; // kept for people to read

  /** An entry of the replicated log. */
  public sealed interface Operation {
    /**
     * Proposes a configuration.
     *
     * @param base          the newest version that its author knew
     * @param configuration its epoch counts, its number is assigned anew
     */
    record Propose(ConfigurationVersion base,
        SharedConfiguration configuration) implements Operation {}

    /** Makes the proposed version the active one. */
    record Activate(ConfigurationVersion version) implements Operation {}

    /** Withdraws the proposed version, since {@code node} can't act on it. */
    record Reject(ConfigurationVersion version, String node, String reason) implements Operation {}
  }

  /**
   * What became of a version.
   *
   * @param activated whether it became active, or was rejected
   * @param reason    in words, of a rejection with the node's name
   */
  public record Outcome(ConfigurationVersion version, boolean activated, String reason) {}

  /**
   * The whole state, for snapshots.
   *
   * @param active   null before the first activation
   * @param proposed null if none waits
   * @param newest   the last version assigned
   * @param outcomes the last ones, oldest first
   */
  public record Snapshot(SharedConfiguration active, SharedConfiguration proposed,
      ConfigurationVersion newest, List<Outcome> outcomes) {}

  private SharedConfiguration active;
  private SharedConfiguration proposed;
  private ConfigurationVersion newest = ConfigurationVersion.NONE;
  private final List<Outcome> outcomes = new ArrayList<>();

  /** A copy of the whole state. */
  public Snapshot snapshot() {
    return new Snapshot(active, proposed, newest, List.copyOf(outcomes));
  }

  /** Takes the state of a snapshot in place of its own. */
  public void restore(Snapshot snapshot) {
    active = snapshot.active;
    proposed = snapshot.proposed;
    newest = snapshot.newest;
    outcomes.clear();
    outcomes.addAll(snapshot.outcomes);
  }

  /** The active configuration; null before the first activation. */
  public SharedConfiguration active() {
    return active;
  }

  /** The configuration that waits for activation; null if there is none. */
  public SharedConfiguration proposed() {
    return proposed;
  }

  /** The last version assigned, whatever became of it. */
  public ConfigurationVersion newest() {
    return newest;
  }

  /** Applies one entry of the log. */
  public OperationResult apply(Operation operation) {
    if (operation instanceof Operation.Propose propose) return propose(propose);
    if (operation instanceof Operation.Activate activate) return activate(activate.version());
    return reject((Operation.Reject) operation);
  }

  private OperationResult propose(Operation.Propose proposal) {
    ConfigurationVersion base = proposal.base();
    // Guards against a proposal made without knowledge of a later one, which it would undo.
    if (!base.equals(newest))
      return OperationResult.refused("made for " + base + ", the newest is " + newest);
    if (proposed != null) return OperationResult.refused(proposed.version() + " is still offered");
    long epoch = proposal.configuration().version().epoch();
    if (epoch < newest.epoch())
      return OperationResult.refused("epoch " + epoch + " is over, the newest is " + newest);
    SharedConfiguration successor = proposal.configuration().withVersion(nextVersion(epoch));
    List<String> faults = successor.faults();
    if (!faults.isEmpty()) return OperationResult.refused(String.join("; ", faults));
    Set<String> broken = brokenLocks(successor);
    if (!broken.isEmpty())
      return OperationResult.refused("pinned in epoch " + epoch + ": " + String.join(", ", broken));
    newest = successor.version();
    proposed = successor;
    return OperationResult.proposed(newest);
  }

  private ConfigurationVersion nextVersion(long epoch) {
    return new ConfigurationVersion(epoch, epoch == newest.epoch() ? newest.number() + 1 : 1);
  }

  /** The locked keys of the active version that the successor tightens in the same epoch. */
  private Set<String> brokenLocks(SharedConfiguration successor) {
    if (active == null || successor.version().epoch() != active.version().epoch()) return Set.of();
    Set<String> broken = new TreeSet<>(ConfigurationConflicts.between(active, successor).keys());
    broken.retainAll(active.lockedKeys());
    return broken;
  }

  private OperationResult activate(ConfigurationVersion version) {
    if (!isProposed(version)) return OperationResult.stale(version);
    active = proposed;
    close(new Outcome(version, true, "in force"));
    return OperationResult.activated(version);
  }

  private OperationResult reject(Operation.Reject rejection) {
    ConfigurationVersion version = rejection.version();
    if (!isProposed(version)) return OperationResult.stale(version);
    close(new Outcome(version, false, rejection.node() + ": " + rejection.reason()));
    return OperationResult.rejected(version);
  }

  private boolean isProposed(ConfigurationVersion version) {
    return proposed != null && proposed.version().equals(version);
  }

  private void close(Outcome outcome) {
    proposed = null;
    outcomes.add(outcome);
    if (outcomes.size() > MAX_OUTCOMES) outcomes.remove(0);
  }
}
