package saltlatch.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What the keepers agree on: the version in force, the one offered, and what became of the others.
 * A deterministic state machine: the same operations in the same order give the same state, at each
 * keeper and after each start. No I/O.
 */
public final class ConfigurationRegister {
  static final int KEPT = 64; // outcomes kept for people to read

  /** An operation of the log that the keepers replicate. */
  public sealed interface Op {
    /** Offers rules in place of version {@code base}, the newest that its author knew. */
    record Put(ConfigurationVersion base, SharedConfiguration rules) implements Op {}

    /** Puts the offered version in force. */
    record Activate(ConfigurationVersion version) implements Op {}

    /** Takes the offered version back, since {@code node} can't act on it. */
    record Reject(ConfigurationVersion version, String node, String reason) implements Op {}
  }

  /** What became of a version. */
  public record Outcome(ConfigurationVersion version, boolean inForce, String why) {}

  /** All of it, for snapshots. */
  public record State(SharedConfiguration inForce, SharedConfiguration offered,
      ConfigurationVersion newest, List<Outcome> outcomes) {}

  private SharedConfiguration inForce;
  private SharedConfiguration offered;
  private ConfigurationVersion newest = ConfigurationVersion.NONE;
  private final List<Outcome> outcomes = new ArrayList<>();

  public State state() {
    return new State(inForce, offered, newest, List.copyOf(outcomes));
  }

  public void restore(State s) {
    inForce = s.inForce;
    offered = s.offered;
    newest = s.newest;
    outcomes.clear();
    outcomes.addAll(s.outcomes);
  }

  public SharedConfiguration inForce() {
    return inForce;
  }

  public SharedConfiguration offered() {
    return offered;
  }

  public ConfigurationVersion newest() {
    return newest;
  }

  /** What to tell who asked: the version given, or why not. */
  public String apply(Op op) {
    if (op instanceof Op.Put p) return put(p);
    if (op instanceof Op.Activate a) return activate(a.version());
    Op.Reject r = (Op.Reject) op;
    if (offered == null || !offered.version().equals(r.version()))
      return "old: " + r.version() + " is not offered";
    end(new Outcome(r.version(), false, r.node() + ": " + r.reason()));
    return "rejected " + r.version();
  }

  private String put(Op.Put p) {
    if (!p.base().equals(newest))
      return "refused: made for " + p.base() + ", the newest is " + newest;
    if (offered != null) return "refused: " + offered.version() + " is still offered";
    long epoch = p.rules().version().epoch();
    if (epoch < newest.epoch())
      return "refused: epoch " + epoch + " is over, the newest is " + newest;
    ConfigurationVersion v = new ConfigurationVersion(epoch,
        epoch == newest.epoch() ? newest.number() + 1 : 1);
    SharedConfiguration rules = p.rules().as(v);
    if (!rules.faults().isEmpty()) return "refused: " + String.join("; ", rules.faults());
    if (inForce != null && epoch == inForce.version().epoch()) {
      Set<String> broken = new TreeSet<>(ConfigurationConflicts.between(inForce, rules).keys());
      broken.retainAll(inForce.pins());
      if (!broken.isEmpty())
        return "refused: pinned in epoch " + epoch + ": " + String.join(", ", broken);
    }
    newest = v;
    offered = rules;
    return "offered " + v;
  }

  private String activate(ConfigurationVersion v) {
    if (offered == null || !offered.version().equals(v)) return "old: " + v + " is not offered";
    inForce = offered;
    end(new Outcome(v, true, "in force"));
    return "in force " + v;
  }

  private void end(Outcome o) {
    offered = null;
    outcomes.add(o);
    if (outcomes.size() > KEPT) outcomes.remove(0);
  }
}
