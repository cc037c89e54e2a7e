package saltlatch.configuration;

import java.util.List;
import java.util.SplittableRandom;

/**
 * A node's side of agreed rules: which version it acts on, which is prepared, and for how long.
 * Answers of the keepers and ticks of the clock go in, renewals and changes come out; no I/O. It
 * never goes backwards. It acts under a lease counted from when it sent the renewal, so that
 * neither a slow answer nor its own absence makes old rules last.
 */
public class ConfigurationFollower {
  /** Where renewals go, and what changes are told. */
  public interface Out {
    /** To any keeper; the number comes back with the answer. */
    void renew(long number, Report report);

    void acts(SharedConfiguration on, ConfigurationConflicts before);
  }

  /**
   * What a node says of itself with each renewal; {@code reason}: why it does not take what is
   * offered, or null.
   */
  public record Report(String node, ConfigurationVersion acts, ConfigurationVersion prepared,
      ConfigurationVersion rejected, String reason) {}

  /**
   * What the keepers answer: the version in force, with its text if the node has not got it, and
   * what is offered, if any.
   */
  public record Answer(ConfigurationVersion inForce, SharedConfiguration text,
      SharedConfiguration offered) {}

  /** What live state a node may have against a rule set, by key; null: none. */
  public interface Objections {
    String to(SharedConfiguration running, SharedConfiguration offered);
  }

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final String name;
  private final LeaseTimings terms;
  private final SplittableRandom chance;
  private final Objections objections;
  private final Out out;
  private SharedConfiguration acts; // null: none yet
  private SharedConfiguration prepared;
  private ConfigurationVersion rejected;
  private String reason;
  private long number;
  private long sentAt = NEVER; // of the renewal that is out; NEVER: none
  private long leaseUntil = NEVER;
  private long due;

  /**
   * {@code last}: the last good version that the node kept, or null; it is not acted on before a
   * keeper confirms it.
   */
  public ConfigurationFollower(String name, LeaseTimings terms, SharedConfiguration last, long seed,
      long now, Objections objections, Out out) {
    this.name = name;
    this.terms = terms;
    this.objections = objections;
    this.out = out;
    acts = last;
    chance = new SplittableRandom(seed);
    due = now;
  }

  public SharedConfiguration acts() {
    return acts;
  }

  /**
   * Asked before each batch of decisions: whether this version is still the one in force as far as
   * a lease can tell.
   */
  public boolean isCurrent(long now) {
    return acts != null && now < leaseUntil;
  }

  public long leaseUntil() {
    return leaseUntil;
  }

  /**
   * Without a lease: whether this req may go against rules that came into force meanwhile. Where
   * activation waits for this node, only what it has prepared can have; else whatever may be
   * offered in this epoch, so all but what is pinned.
   */
  public boolean mayBeContradicted(String plan, String frontend, long customer) {
    if (acts == null) return true;
    if (isWaitedFor()) return prepared != null && between().touch(plan, frontend, customer);
    return !acts.isPinned(plan, frontend);
  }

  /** The same of an app server that may be held out meanwhile. */
  public boolean mayBeHeldOut(String srv) {
    if (acts == null) return true;
    if (isWaitedFor()) return prepared != null && between().srvs().contains(srv);
    return !acts.pins().contains("heldOut");
  }

  /**
   * Nothing comes into force without this node, now and under what is prepared: both wait, and for
   * it too.
   */
  private boolean isWaitedFor() {
    return waits(acts) && (prepared == null || waits(prepared));
  }

  private boolean waits(SharedConfiguration r) {
    return r.expired() == SharedConfiguration.Expired.WAIT && r.roster().contains(name);
  }

  private ConfigurationConflicts between() {
    return ConfigurationConflicts.between(acts, prepared);
  }

  /** When {@link #tick} is due next. */
  public long due() {
    return due;
  }

  public void tick(long now) {
    if (now < due) return;
    due = terms.next(now, chance.nextDouble());
    sentAt = now;
    out.renew(++number, new Report(name, acts == null ? ConfigurationVersion.NONE : acts.version(),
        prepared == null ? ConfigurationVersion.NONE : prepared.version(), rejected, reason));
  }

  /**
   * The keepers' answer to the renewal of that number; late ones, and those of a keeper with an old
   * state, change nothing.
   */
  public void answered(long now, long to, Answer a) {
    if (to != number || sentAt == NEVER) return;
    long sent = sentAt;
    sentAt = NEVER;
    ConfigurationVersion mine = acts == null ? ConfigurationVersion.NONE : acts.version();
    if (mine.isAfter(a.inForce)) return; // a keeper that was set back: it confirms nothing
    if (a.inForce.isAfter(mine)) {
      SharedConfiguration next = prepared != null && prepared.version().equals(a.inForce) ? prepared
          : a.text;
      // its text comes with a later answer
      if (next == null || !next.version().equals(a.inForce)) return;
      ConfigurationConflicts before = acts == null ? null
          : ConfigurationConflicts.between(acts, next);
      acts = next;
      if (prepared != null && !prepared.version().isAfter(acts.version())) prepared = null;
      out.acts(acts, before);
    }
    leaseUntil = Math.max(leaseUntil, leaseFrom(sent, now) + terms.lease());
    if (a.offered != null) {
      offered(now, a.offered);
      return;
    }
    prepared = null; // withdrawn, or in force
    rejected = null;
    reason = null;
  }

  /** From its sending: the keepers may have gone on while the answer was on its way. */
  long leaseFrom(long sent, long now) {
    return sent;
  }

  private void offered(long now, SharedConfiguration o) {
    if (acts != null && !o.version().isAfter(acts.version())) return;
    if (prepared != null && prepared.version().equals(o.version()) || o.version().equals(rejected))
      return;
    List<String> faults = o.faults();
    reason = faults.isEmpty() ? objections.to(acts, o) : String.join("; ", faults);
    prepared = reason == null ? o : null;
    rejected = reason == null ? null : o.version();
    due = now; // the keepers wait for this word
  }
}
