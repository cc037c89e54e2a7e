package saltlatch.membership;

import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * Applies the transitions of members' states. It is the only writer of {@link MemberTable} and of
 * the suspicion timers.
 *
 * <p>Invariants: a state changes only by an update from the member itself or from another member
 * ({@link #apply}), by an unanswered probe ({@link #suspect}) or by a suspicion that expires; a
 * lower incarnation never overrides a higher one; this node is always alive in its own table until
 * it leaves. Every change is disseminated to the other members, invalidates the records of equal
 * views if the digest changed, and is reported to the output.
 */
final class MemberStateMachine {
  private final MemberTable table;
  private final SuspicionTimer[] suspicions;
  private final Dissemination dissemination;
  private final QuotaLeases leases;
  private final LocalHealth health;
  private final Membership.Output output;

  MemberStateMachine(MemberTable table, SuspicionTimer[] suspicions, Dissemination dissemination,
      QuotaLeases leases, LocalHealth health, Membership.Output output) {
    this.table = table;
    this.suspicions = suspicions;
    this.dissemination = dissemination;
    this.leases = leases;
    this.health = health;
    this.output = output;
  }

  /** Marks this node alive in the first incarnation of its process. */
  void join(long incarnation, long now) {
    set(table.ownIndex(), State.ALIVE, incarnation, now);
  }

  /** Marks this node as left, for a planned shutdown. */
  void leave(long now) {
    set(table.ownIndex(), State.LEFT, table.ownIncarnation(), now);
  }

  /** Applies an update about a member of the table. */
  void apply(MemberUpdate update, long now) {
    if (update.member() == table.ownIndex()) {
      refute(update, now);
    } else if (table.isSameSuspicion(update)) {
      suspicions[update.member()].confirm(update.reporter(), now);
    } else if (table.isOverriddenBy(update)) {
      if (update.state() == State.SUSPECT) {
        startSuspicion(update.member(), update.incarnation(), update.reporter(), now);
      } else {
        set(update.member(), update.state(), update.incarnation(), now);
      }
    }
  }

  /**
   * SWIM's refutation: this node takes a higher incarnation, which overrides a suspicion of it. An
   * update with an incarnation that this process never had is about an earlier process with the
   * same member index, and is overridden in the same way.
   */
  private void refute(MemberUpdate update, long now) {
    boolean claimsUnavailable = update.state() != State.ALIVE && update.state() != State.UNKNOWN;
    if (update.incarnation() > table.ownIncarnation()
        || (claimsUnavailable && update.incarnation() == table.ownIncarnation())) {
      set(table.ownIndex(), State.ALIVE, update.incarnation() + 1, now);
      if (claimsUnavailable) {
        health.degrade(1); // this node was too slow to answer probes
      }
    }
  }

  /** Raises or confirms a suspicion after the member did not answer this node's probe. */
  void suspect(int member, long now) {
    if (table.state(member) == State.ALIVE) {
      startSuspicion(member, table.incarnation(member), table.ownIndex(), now);
    } else if (table.state(member) == State.SUSPECT) {
      suspicions[member].confirm(table.ownIndex(), now);
    }
  }

  private void startSuspicion(int member, long incarnation, int reporter, long now) {
    suspicions[member].start(reporter, now);
    set(member, State.SUSPECT, incarnation, now);
  }

  /** Marks the members failed whose suspicion has expired. */
  void expireSuspicions(long now) {
    for (int member = 0; member < table.size(); member++) {
      if (table.state(member) == State.SUSPECT && suspicions[member].hasExpired(now)) {
        set(member, State.FAILED, table.incarnation(member), now);
      }
    }
  }

  /**
   * Restarts every suspicion after this node did not run for a while: it may have missed messages
   * that refute them.
   */
  void restartSuspicions(long now) {
    for (int member = 0; member < table.size(); member++) {
      if (table.state(member) == State.SUSPECT) {
        suspicions[member].restart(now);
      }
    }
  }

  private void set(int member, State state, long incarnation, long now) {
    if (table.set(member, state, incarnation, now)) {
      leases.viewChanged();
    }
    dissemination.announce(member);
    output.stateChanged(member, state, incarnation, table.version());
  }
}
