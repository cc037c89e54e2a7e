package saltlatch.membership;

import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.membership.MembershipMessage.Kind;
import saltlatch.membership.MembershipMessage.State;

/**
 * SWIM's failure detector: one probe per period, first a direct probe, then indirect probes by
 * proxies, then a suspicion.
 *
 * <p>Invariants: at most one probe is open; each live member is probed once per round, in an order
 * that is shuffled for each round, so that at most two rounds pass between two probes of a member;
 * one probe in {@link MembershipTimings#RECONNECT_PERIODS} goes to a member that is failed or
 * unknown, and changes nothing if it is not answered. Times are in ticks; on a slow node they are
 * longer ({@link LocalHealth}).
 */
final class FailureDetector {
  /** Fraction of the period after which indirect probes are sent if no ack has arrived. */
  static final double DIRECT_TIMEOUT_FRACTION = 0.4;

  /** The open probe. */
  private static final class Probe {
    final int sequenceNumber;
    final int target;
    final long sentAtTicks;
    final long directTimeoutAtTicks;
    final long timeoutAtTicks;
    final boolean reconnecting;
    boolean indirectProbesSent;
    int missingNacks;

    Probe(int sequenceNumber, int target, long sentAtTicks, long periodTicks,
        boolean reconnecting) {
      this.sequenceNumber = sequenceNumber;
      this.target = target;
      this.sentAtTicks = sentAtTicks;
      this.reconnecting = reconnecting;
      directTimeoutAtTicks = sentAtTicks + (long) (DIRECT_TIMEOUT_FRACTION * periodTicks);
      timeoutAtTicks = sentAtTicks + periodTicks;
    }
  }

  private final MembershipTimings timings;
  private final MemberTable table;
  private final MemberStateMachine stateMachine;
  private final MessageSender sender;
  private final QuotaLeases leases;
  private final LocalHealth health;
  private final SplittableRandom random;
  private final ArrayDeque<Integer> round = new ArrayDeque<>();
  private Probe probe; // null if no probe is open
  private int periods;
  private long nextPeriodAtTicks;
  private long lastReceivedAtTicks; // arrival of the last datagram from any member

  /**
   * Creates a detector whose first period begins at a random time, so that the nodes of a fleet
   * that are started together do not all probe at the same time.
   */
  FailureDetector(MembershipTimings timings, MemberTable table, MemberStateMachine stateMachine,
      MessageSender sender, QuotaLeases leases, LocalHealth health, SplittableRandom random,
      long now) {
    this.timings = timings;
    this.table = table;
    this.stateMachine = stateMachine;
    this.sender = sender;
    this.leases = leases;
    this.health = health;
    this.random = random;
    nextPeriodAtTicks = now + (long) (random.nextDouble() * timings.periodTicks());
  }

  /** Sends the indirect probes or ends the open probe if the respective timeout has passed. */
  void checkTimeouts(long now) {
    if (probe != null && !probe.indirectProbesSent && now >= probe.directTimeoutAtTicks) {
      sendIndirectProbes(now);
    }
    if (probe != null && now >= probe.timeoutAtTicks) {
      endUnansweredProbe(now);
    }
  }

  private void sendIndirectProbes(long now) {
    probe.indirectProbesSent = true;
    if (probe.reconnecting) {
      return;
    }
    int sent = 0;
    for (int proxy : table.shuffledLivePeers(random)) {
      if (sent == MembershipTimings.INDIRECT_PROBES) {
        break;
      }
      if (proxy != probe.target && table.state(proxy) != State.SUSPECT) {
        sender.send(proxy, Kind.PING_REQUEST, probe.sequenceNumber, probe.target, now);
        sent++;
      }
    }
    probe.missingNacks = sent;
  }

  private void endUnansweredProbe(long now) {
    Probe unanswered = probe;
    probe = null;
    if (unanswered.reconnecting) {
      return;
    }
    // Guards against an isolated node that suspects all others: if no datagram arrived from any
    // member or proxy, this node itself may be at fault. Lifeguard counts every missing nack. If
    // most of a fleet fails at once, that would slow down all survivors although they reach each
    // other, and failures would be detected too late.
    if (now - lastReceivedAtTicks > timings.absenceTicks()) {
      health.degrade(Math.max(1, unanswered.missingNacks));
    }
    stateMachine.suspect(unanswered.target, now);
  }

  /** Begins the next period if it is due, and sends its probe unless one is still open. */
  void startPeriodIfDue(long now) {
    if (now < nextPeriodAtTicks) {
      return;
    }
    long periodTicks = timings.periodTicks() * (1 + health.multiplier());
    nextPeriodAtTicks = Math.max(nextPeriodAtTicks + periodTicks, now + periodTicks / 2);
    if (probe != null) {
      return; // the open probe began when this node was slower and its period longer
    }
    periods++;
    List<Integer> unreachable = table.shuffledUnreachablePeers(random);
    boolean reconnecting = !unreachable.isEmpty()
        && (periods % MembershipTimings.RECONNECT_PERIODS == 0 || table.liveCount() <= 1);
    int target = reconnecting ? unreachable.get(random.nextInt(unreachable.size()))
        : nextProbeTarget();
    if (target >= 0) {
      probe = new Probe(sender.nextSequenceNumber(), target, now, periodTicks, reconnecting);
      sender.send(target, Kind.PING, probe.sequenceNumber, target, now);
    }
  }

  /** Returns the next live member of the round, or -1 if no other member is live. */
  private int nextProbeTarget() {
    for (int turn = 0; turn < 2; turn++) {
      while (!round.isEmpty()) {
        int next = round.poll();
        if (table.isLive(next)) {
          return next;
        }
      }
      round.addAll(table.shuffledLivePeers(random));
    }
    return -1;
  }

  /** Records that a datagram of any kind has arrived from a member. */
  void received(long now) {
    lastReceivedAtTicks = now;
  }

  /**
   * Ends the open probe if the ack answers it. Only an ack sent by the target itself renews the
   * leases.
   */
  void acknowledged(int from, MembershipMessage ack, long now) {
    if (probe == null || probe.sequenceNumber != ack.sequenceNumber()
        || (probe.target != from && probe.target != ack.target())) {
      return;
    }
    if (probe.target == from) {
      leases.recordAnswer(now, from, probe.sentAtTicks, ack.grantsLeaseToReceiver(),
          ack.digest() == table.digest());
    }
    probe = null;
    health.improve();
  }

  /**
   * Records a proxy's nack: the proxy received no ack from the target, but its nack shows that this
   * node is reachable.
   */
  void notAcknowledged(MembershipMessage nack) {
    if (probe != null && probe.sequenceNumber == nack.sequenceNumber()) {
      probe.missingNacks = Math.max(0, probe.missingNacks - 1);
    }
  }

  /**
   * Drops the open probe and begins a new period after this node did not run for a while. The probe
   * must not raise a suspicion, since the ack may have arrived during the absence.
   */
  void restart(long now) {
    probe = null;
    nextPeriodAtTicks = now;
  }
}
