package saltlatch.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The state machine that the quorum replicates: which version is active, which is proposed, and the
 * outcomes of earlier proposals. It is deterministic and does no I/O, so that the same operations
 * in the same order lead to the same state at each server and after each restart.
 *
 * <p>Invariants: each assigned version is newer than all before it; at most one version is proposed
 * at a time; only a proposed version can become active; within an epoch, no active version tightens
 * a key that an earlier active version locked.
 *
 * <p>Owned by the thread that applies the replicated log.
 */
public final class ConfigurationRegister {
  private static final int MAX_OUTCOMES = 64; // kept for operators

  /** An entry of the replicated log. */
  public sealed interface Operation {
    /**
     * Proposes a configuration.
     *
     * @param base          the newest version on which the proposal is based
     * @param configuration the proposal; the register keeps its epoch and assigns its number
     */
    record Propose(ConfigurationVersion base,
        SharedConfiguration configuration) implements Operation {}

    /** Activates the proposed version. */
    record Activate(ConfigurationVersion version) implements Operation {}

    /** Withdraws the proposed version because {@code node} can't act on it. */
    record Reject(ConfigurationVersion version, String node, String reason) implements Operation {}
  }

  /**
   * The outcome of a proposal.
   *
   * @param version   the proposed version
   * @param activated true if it became active, false if it was rejected
   * @param reason    a description; for a rejection, it begins with the node's name
   */
  public record Outcome(ConfigurationVersion version, boolean activated, String reason) {}

  /**
   * A copy of the complete state.
   *
   * @param active   the active configuration; null before the first activation
   * @param proposed the configuration that waits for activation; null if there is none
   * @param newest   the last version assigned
   * @param outcomes the last outcomes, at most 64, oldest first
   */
  public record Snapshot(SharedConfiguration active, SharedConfiguration proposed,
      ConfigurationVersion newest, List<Outcome> outcomes) {}

  private SharedConfiguration active;
  private SharedConfiguration proposed;
  private ConfigurationVersion newest = ConfigurationVersion.NONE;
  private final List<Outcome> outcomes = new ArrayList<>();

  /** Returns a copy of the complete state. */
  public Snapshot snapshot() {
    return new Snapshot(active, proposed, newest, List.copyOf(outcomes));
  }

  /** Replaces the state by that of a snapshot. */
  public void restore(Snapshot snapshot) {
    active = snapshot.active;
    proposed = snapshot.proposed;
    newest = snapshot.newest;
    outcomes.clear();
    outcomes.addAll(snapshot.outcomes);
  }

  /** Returns the active configuration; null before the first activation. */
  public SharedConfiguration active() {
    return active;
  }

  /** Returns the configuration that waits for activation; null if there is none. */
  public SharedConfiguration proposed() {
    return proposed;
  }

  /** Returns the last version assigned, whether it is proposed, active or rejected. */
  public ConfigurationVersion newest() {
    return newest;
  }

  /** Applies an entry of the replicated log. */
  public OperationResult apply(Operation operation) {
    if (operation instanceof Operation.Propose propose) return propose(propose);
    if (operation instanceof Operation.Activate activate) return activate(activate.version());
    return reject((Operation.Reject) operation);
  }

  private OperationResult propose(Operation.Propose proposal) {
    ConfigurationVersion base = proposal.base();
    // A proposal that is not based on the newest version could undo that version's changes.
    if (!base.equals(newest))
      return OperationResult.refused("made for " + base + ", the newest is " + newest);
    if (proposed != null) return OperationResult.refused(proposed.version() + " is still offered");
    long epoch = proposal.configuration().version().epoch();
    if (epoch < newest.epoch())
      return OperationResult.refused("epoch " + epoch + " is over, the newest is " + newest);
    SharedConfiguration successor = proposal.configuration().withVersion(nextVersion(epoch));
    List<String> faults = successor.faults();
    if (!faults.isEmpty()) return OperationResult.refused(String.join("; ", faults));
    Set<String> violated = violatedLocks(successor);
    if (!violated.isEmpty()) return OperationResult
        .refused("pinned in epoch " + epoch + ": " + String.join(", ", violated));
    newest = successor.version();
    proposed = successor;
    return OperationResult.proposed(newest);
  }

  private ConfigurationVersion nextVersion(long epoch) {
    return new ConfigurationVersion(epoch, epoch == newest.epoch() ? newest.number() + 1 : 1);
  }

  /**
   * Returns the locked keys of the active version that the successor tightens; none if the
   * successor is of another epoch.
   */
  private Set<String> violatedLocks(SharedConfiguration successor) {
    if (active == null || successor.version().epoch() != active.version().epoch()) return Set.of();
    Set<String> violated = new TreeSet<>(ConfigurationConflicts.between(active, successor).keys());
    violated.retainAll(active.lockedKeys());
    return violated;
  }

  private OperationResult activate(ConfigurationVersion version) {
    if (!isProposed(version)) return OperationResult.stale(version);
    active = proposed;
    closeProposal(new Outcome(version, true, "in force"));
    return OperationResult.activated(version);
  }

  private OperationResult reject(Operation.Reject rejection) {
    ConfigurationVersion version = rejection.version();
    if (!isProposed(version)) return OperationResult.stale(version);
    closeProposal(new Outcome(version, false, rejection.node() + ": " + rejection.reason()));
    return OperationResult.rejected(version);
  }

  private boolean isProposed(ConfigurationVersion version) {
    return proposed != null && proposed.version().equals(version);
  }

  private void closeProposal(Outcome outcome) {
    proposed = null;
    outcomes.add(outcome);
    if (outcomes.size() > MAX_OUTCOMES) outcomes.remove(0);
  }
}
