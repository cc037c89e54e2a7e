package saltlatch.membership;

import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * The transitions of members' states. The one writer of {@link MemberTable} and of the suspicion
 * timers.
 *
 * <p>Invariants: a state changes only by what the member says itself, by what others say of it
 * ({@link #apply}), by an unanswered probe ({@link #suspect}) or by a suspicion that expires; a
 * lower incarnation never overrides a higher one; this node is always alive in its own table until
 * it leaves. Every change is announced to the other members, ends the leases that rest on an equal
 * view if the digest changed, and goes to the output.
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

  /** This process begins, alive in its first incarnation. */
  void join(long incarnation, long now) {
    set(table.ownIndex(), State.ALIVE, incarnation, now);
  }

  /** This process ends as planned. */
  void leave(long now) {
    set(table.ownIndex(), State.LEFT, table.ownIncarnation(), now);
  }

  /** Takes in an update about a member of the table. */
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
   * SWIM's refutation: a higher incarnation overrides a suspicion of this node. An update of an
   * incarnation that this process never had is one of a former process under the same number.
   */
  private void refute(MemberUpdate update, long now) {
    boolean wrong = update.state() != State.ALIVE && update.state() != State.UNKNOWN;
    if (update.incarnation() > table.ownIncarnation()
        || wrong && update.incarnation() == table.ownIncarnation()) {
      set(table.ownIndex(), State.ALIVE, update.incarnation() + 1, now);
      if (wrong) {
        health.degrade(1); // it was too slow to be seen
      }
    }
  }

  /** A probe of this node was not answered. */
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

  /** Holds those failed whose suspicion has expired. */
  void expireSuspicions(long now) {
    for (int member = 0; member < table.size(); member++) {
      if (table.state(member) == State.SUSPECT && suspicions[member].hasExpired(now)) {
        set(member, State.FAILED, table.incarnation(member), now);
      }
    }
  }

  /** Restarts every suspicion: this node did not run, and others' silence may be its own. */
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
