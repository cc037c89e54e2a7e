package saltlatch.membership;

import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * Changes the states of members. It is the only writer of {@link MemberTable} and of the suspicion
 * timers.
 *
 * <p>Invariants: the state of another member changes only by an update that this node receives
 * ({@link #apply}), by an unanswered probe ({@link #suspect}) or when a suspicion expires
 * ({@link #expireSuspicions}); a lower incarnation never overrides a higher one; this node is alive
 * in its own table from {@link #join} to {@link #leave}. Every change is disseminated to the other
 * members and reported to the output. If it changes the table's digest, {@link QuotaLeases} clears
 * its records of the members whose view equals this node's view.
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

  /** Marks this node as alive, with the first incarnation that this process uses. */
  void join(long incarnation, long now) {
    set(table.ownIndex(), State.ALIVE, incarnation, now);
  }

  /** Marks this node as left, for a planned shutdown. */
  void leave(long now) {
    set(table.ownIndex(), State.LEFT, table.ownIncarnation(), now);
  }

  /** Applies a received update about another member or about this node. */
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
   * Refutes an update about this node, as in SWIM: if the update states that this node is suspect,
   * failed or left in its current incarnation, this node takes a higher incarnation, which
   * overrides the update. It does the same if the update has a higher incarnation than this process
   * has used, since such an update is about an earlier process with the same member index.
   */
  private void refute(MemberUpdate update, long now) {
    boolean claimsUnavailable = update.state() != State.ALIVE && update.state() != State.UNKNOWN;
    if (update.incarnation() > table.ownIncarnation()
        || (claimsUnavailable && update.incarnation() == table.ownIncarnation())) {
      set(table.ownIndex(), State.ALIVE, update.incarnation() + 1, now);
      if (claimsUnavailable) {
        health.degrade(1); // because this node answered probes too slowly
      }
    }
  }

  /** Starts or confirms a suspicion of a member that did not answer this node's probe. */
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

  /** Marks each member whose suspicion has expired as failed. */
  void expireSuspicions(long now) {
    for (int member = 0; member < table.size(); member++) {
      if (table.state(member) == State.SUSPECT && suspicions[member].hasExpired(now)) {
        set(member, State.FAILED, table.incarnation(member), now);
      }
    }
  }

  /**
   * Restarts the timer of every suspicion. Called after a pause of this process, in which it may
   * have missed messages that refute a suspicion.
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
