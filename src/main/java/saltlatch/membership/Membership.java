package saltlatch.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.api.GatewayEvent.MemberState;
import saltlatch.api.GatewayEvent.MembershipChanged;
import saltlatch.membership.MembershipMessage.Kind;
import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * One node's membership in the fleet: SWIM with the Lifeguard extensions, after the published
 * papers; docs/member-design.md has the reasons for what differs.
 *
 * <p>Joins the parts: {@link MemberStateMachine} changes members' states, {@link FailureDetector}
 * probes them, {@link ProxyProbes} probes for others, {@link Dissemination} spreads changes and
 * {@link QuotaLeases} says which part of quotas may be used.
 *
 * <p>Invariants: no I/O and no clock, one caller, one seeded generator, so that equal inputs give
 * equal outputs; what it holds is bounded by the fleet's size. Times are ticks.
 */
public final class Membership {
  /** Where datagrams and changes go; called on the caller's thread from within its calls. */
  public interface Output {
    /** Sends a datagram to a member; it may be lost. */
    void send(int receiver, MembershipMessage message);

    /**
     * This node holds a member to be in another state.
     *
     * @param version of this node's view, with the change
     */
    void stateChanged(int member, State state, long incarnation, long version);
  }

  private final MembershipTimings timings;
  private final SplittableRandom random;
  private final MemberTable table;
  private final LocalHealth health = new LocalHealth();
  private final QuotaLeases leases;
  private final Dissemination dissemination;
  private final MessageSender sender;
  private final MemberStateMachine stateMachine;
  private final ProxyProbes proxyProbes;
  private final FailureDetector failureDetector;
  private boolean leaving;
  private long tickedAtTicks;
  private long now;

  /**
   * Starts as a member that knows no other.
   *
   * @param incarnation above any that this number had before: the second of the process' start
   * @param seed        of the generator
   */
  public Membership(MembershipTimings timings, int ownIndex, long incarnation, long seed, long now,
      Output output) {
    this.timings = timings;
    this.now = now;
    tickedAtTicks = now;
    random = new SplittableRandom(seed);
    table = new MemberTable(ownIndex, timings.memberCount());
    leases = new QuotaLeases(timings);
    SuspicionTimer[] suspicions = new SuspicionTimer[timings.memberCount()];
    for (int member = 0; member < suspicions.length; member++) {
      suspicions[member] = new SuspicionTimer(timings);
    }
    dissemination = new Dissemination(timings, table, suspicions, random);
    sender = new MessageSender(table, dissemination,
        new LeaseGrantor(timings, table, now, incarnation), output);
    stateMachine = new MemberStateMachine(table, suspicions, dissemination, leases, health, output);
    proxyProbes = new ProxyProbes(timings, table, sender);
    failureDetector = new FailureDetector(timings, table, stateMachine, sender, leases, health,
        random, now);
    stateMachine.join(incarnation, now);
  }

  /** The state in which this node holds a member. */
  public State state(int member) {
    return table.state(member);
  }

  /** The latest incarnation of a member that this node knows. */
  public long incarnation(int member) {
    return table.incarnation(member);
  }

  /** Members that are alive or suspect, this one among them. */
  public int liveCount() {
    return table.liveCount();
  }

  /** Members held in a state. */
  public int countInState(State state) {
    return table.countInState(state);
  }

  /** Grows with every change of this node's view. */
  public long version() {
    return table.version();
  }

  /**
   * Equal where two nodes hold the same members live, and the others failed or left in the same
   * incarnations.
   */
  public long digest() {
    return table.digest();
  }

  /** Lifeguard's local health multiplier: 0 for a node that is not slow. */
  public int localHealthMultiplier() {
    return health.multiplier();
  }

  /** How much of the fleet this node sees. */
  public FleetView fleetView() {
    return FleetView.of(table.liveCount(), table.countInState(State.LEFT), table.size());
  }

  /** What the policy is to know: who is live, and until when which shares may be used. */
  public MembershipChanged membershipEvent() {
    long failedTakeoverUntil = leases.takeoverUntilTicks(now, timings.leaseExpiryTicks());
    boolean failedTakenOver = now < failedTakeoverUntil;
    List<MemberState> states = new ArrayList<>();
    for (int member = 0; member < table.size(); member++) {
      states.add(policyState(member, failedTakenOver));
    }
    long leaseUntil = leaving ? 0 : leases.leaseUntilTicks();
    long takeoverUntil = leaving ? 0
        : failedTakenOver ? failedTakeoverUntil : leases.takeoverUntilTicks(now, 0);
    // A minority divides by all members: those that it does not see may do what it does.
    boolean majority = 2 * table.liveCount() > table.size();
    return new MembershipChanged(states, leaseUntil, takeoverUntil,
        majority ? table.liveCount() : table.size());
  }

  private MemberState policyState(int member, boolean failedTakenOver) {
    if (table.isLive(member)) {
      return MemberState.LIVE;
    }
    boolean takenOver = table.state(member) == State.LEFT
        || (table.state(member) == State.FAILED && failedTakenOver);
    return takenOver ? MemberState.TAKEN_OVER : MemberState.UNREACHABLE;
  }

  /** A planned end: sent to as many members as one update is sent to. Later calls do nothing. */
  public void leave() {
    if (leaving) {
      return;
    }
    leaving = true;
    stateMachine.leave(now);
    List<Integer> peers = table.shuffledLivePeers(random);
    for (int i = 0; i < Math.min(timings.retransmitLimit(), peers.size()); i++) {
      sender.send(peers.get(i), Kind.PING, sender.nextSequenceNumber(), table.ownIndex(), now);
    }
  }

  /** Lets time pass; to be called every {@link MembershipTimings#tickIntervalTicks}. */
  public void tick(long now) {
    this.now = now;
    long sinceTick = now - tickedAtTicks;
    if (sinceTick > timings.absenceTicks()) {
      resumeAfterAbsence();
    } else if (sinceTick > FailureDetector.DIRECT_TIMEOUT_FRACTION * timings.periodTicks()) {
      health.degrade(1); // starved: answers may have come and lie unread
    }
    tickedAtTicks = now;
    if (leaving) {
      return;
    }
    failureDetector.checkTimeouts(now);
    proxyProbes.sendNacks(now);
    stateMachine.expireSuspicions(now);
    failureDetector.startPeriodIfDue(now);
  }

  /**
   * Guards against a node that was stopped and blames others on waking: their silence was its own.
   * It shows as failures of live members right after a pause. Open probes blame nobody, every
   * suspicion begins anew, and the node trusts itself less for a while.
   */
  private void resumeAfterAbsence() {
    proxyProbes.clear();
    health.degradeAfterAbsence();
    failureDetector.restart(now);
    stateMachine.restartSuspicions(now);
  }

  /** Takes in a datagram of a member; one of a stranger or to a node that leaves is dropped. */
  public void receive(long now, int from, MembershipMessage message) {
    if (!table.contains(from) || from == table.ownIndex() || leaving) {
      return;
    }
    this.now = now;
    failureDetector.received(now);
    stateMachine.apply(new MemberUpdate(from, State.ALIVE, message.incarnation(), from), now);
    for (MemberUpdate update : message.updates()) {
      if (table.contains(update.member())) {
        stateMachine.apply(update, now);
      }
    }
    dissemination.compareDigest(from, message.digest());
    answer(from, message);
  }

  private void answer(int from, MembershipMessage message) {
    switch (message.kind()) {
      case PING -> sender.send(from, Kind.ACK, message.sequenceNumber(), table.ownIndex(), now);
      case PING_REQUEST -> proxyProbes.start(from, message, now);
      case ACK -> {
        proxyProbes.acknowledged(from, message, now);
        failureDetector.acknowledged(from, message, now);
      }
      case NACK -> failureDetector.notAcknowledged(message);
    }
  }
}
