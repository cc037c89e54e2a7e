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
 * One node's membership in the fleet, by the published SWIM and Lifeguard protocols;
 * docs/member-design.md gives the reason for each difference from the papers.
 *
 * <p>Connects the parts: {@link MemberStateMachine} changes members' states,
 * {@link FailureDetector} probes them, {@link ProxyProbes} probes on behalf of others,
 * {@link Dissemination} disseminates changes and {@link QuotaLeases} determines which share of
 * quotas may be used.
 *
 * <p>Invariants: no I/O, no clock, a single caller and a single seeded random generator, so that
 * equal inputs produce equal outputs; memory is bounded by the fleet's size. Times are in ticks.
 */
public final class Membership {
  /**
   * Receives datagrams to send and state changes. It is called synchronously, on the thread that
   * calls this membership.
   */
  public interface Output {
    /** Sends a datagram to a member. Delivery is not guaranteed. */
    void send(int receiver, MembershipMessage message);

    /**
     * Reports that a member's state or incarnation has changed in this node's view.
     *
     * @param version version of this node's view after the change
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
  private long lastTickAtTicks;
  private long now;

  /**
   * Creates a member to which all other members are unknown.
   *
   * @param incarnation start time of the process in seconds, which is higher than any incarnation
   *                    that this member index had before
   * @param seed        seed of the random generator
   */
  public Membership(MembershipTimings timings, int ownIndex, long incarnation, long seed, long now,
      Output output) {
    this.timings = timings;
    this.now = now;
    lastTickAtTicks = now;
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

  /** Returns a member's state in this node's view. */
  public State state(int member) {
    return table.state(member);
  }

  /** Returns a member's incarnation in this node's view. */
  public long incarnation(int member) {
    return table.incarnation(member);
  }

  /** Returns the number of members that are alive or suspect, this node included. */
  public int liveCount() {
    return table.liveCount();
  }

  /** Returns the number of members in a state. */
  public int countInState(State state) {
    return table.countInState(state);
  }

  /** Returns the version of this node's view, which every change increases. */
  public long version() {
    return table.version();
  }

  /**
   * Returns the digest of this node's view. It is equal on two nodes if the same members are live
   * and the others are failed or left in the same incarnations.
   */
  public long digest() {
    return table.digest();
  }

  /** Returns Lifeguard's local health multiplier, 0 for a node that is not slow. */
  public int localHealthMultiplier() {
    return health.multiplier();
  }

  /** Returns how much of the fleet this node considers live. */
  public FleetView fleetView() {
    return FleetView.of(table.liveCount(), table.countInState(State.LEFT), table.size());
  }

  /**
   * Returns the event for the policy: which members are live, and until when this node may use its
   * surplus and the surplus that it takes over.
   */
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
    // A minority divides by the number of all members, because the members that it does not reach
    // may still be serving clients.
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

  /**
   * Leaves the fleet for a planned shutdown. The update is sent to as many random members as the
   * retransmit limit allows. Later calls have no effect.
   */
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

  /**
   * Runs all actions that are due; the host calls it every
   * {@link MembershipTimings#tickIntervalTicks}.
   */
  public void tick(long now) {
    this.now = now;
    long sinceLastTick = now - lastTickAtTicks;
    if (sinceLastTick > timings.absenceTicks()) {
      resumeAfterAbsence();
    } else if (sinceLastTick > FailureDetector.DIRECT_TIMEOUT_FRACTION * timings.periodTicks()) {
      health.degrade(1); // the tick is late: acks may have arrived but not been read
    }
    lastTickAtTicks = now;
    if (leaving) {
      return;
    }
    failureDetector.checkTimeouts(now);
    proxyProbes.sendNacks(now);
    stateMachine.expireSuspicions(now);
    failureDetector.startPeriodIfDue(now);
  }

  /**
   * Guards against a node that was paused and then suspects others although it was itself the one
   * that did not run. The symptom is failures of live members right after a pause. Open probes are
   * dropped without raising suspicions, every suspicion restarts, and the local health multiplier
   * is raised until probes are answered again.
   */
  private void resumeAfterAbsence() {
    proxyProbes.clear();
    health.degradeAfterAbsence();
    failureDetector.restart(now);
    stateMachine.restartSuspicions(now);
  }

  /**
   * Processes a datagram from another member. It is dropped if the sender is not a member of the
   * configuration, or if this node is leaving.
   */
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
    handle(from, message);
  }

  private void handle(int from, MembershipMessage message) {
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
