package saltlatch.membership;

import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.membership.MembershipMessage.Kind;
import saltlatch.membership.MembershipMessage.State;

/**
 * SWIM's failure detector: one probe a period, first direct, then by proxies, then a suspicion.
 *
 * <p>Invariants: at most one probe is open; each live member is probed once a round, in an order
 * drawn anew, so that none waits for longer than two rounds; one probe in
 * {@link MembershipTimings#RECONNECT_PERIODS} goes to a member that is failed or unknown, whose
 * silence is no news. Times are ticks; a slow node's are longer ({@link LocalHealth}).
 */
final class FailureDetector {
  /** Part of the period in which the target's own answer is waited for. */
  static final double DIRECT_TIMEOUT_FRACTION = 0.4;

  /** The open probe. */
  private static final class Probe {
    final int sequenceNumber;
    final int target;
    final long sentAtTicks;
    final long directTimeoutAtTicks;
    final long timeoutAtTicks;
    final boolean reconnecting;
    boolean proxiesAsked;
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
  private Probe probe; // null: none is open
  private int periods;
  private long nextPeriodAtTicks;
  private long receivedAtTicks; // the last datagram of any member

  /** The first period begins at a random time: a fleet started at once must not probe at once. */
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

  /** Asks proxies, or gives the open probe up, if it is time. */
  void checkTimeouts(long now) {
    if (probe != null && !probe.proxiesAsked && now >= probe.directTimeoutAtTicks) {
      askProxies(now);
    }
    if (probe != null && now >= probe.timeoutAtTicks) {
      giveUp(now);
    }
  }

  private void askProxies(long now) {
    probe.proxiesAsked = true;
    if (probe.reconnecting) {
      return;
    }
    int asked = 0;
    for (int proxy : table.shuffledLivePeers(random)) {
      if (asked == MembershipTimings.INDIRECT_PROBES) {
        break;
      }
      if (proxy != probe.target && table.state(proxy) != State.SUSPECT) {
        sender.send(proxy, Kind.PING_REQUEST, probe.sequenceNumber, probe.target, now);
        asked++;
      }
    }
    probe.missingNacks = asked;
  }

  private void giveUp(long now) {
    Probe unanswered = probe;
    probe = null;
    if (unanswered.reconnecting) {
      return;
    }
    // Guards against a node cut off that suspects all others: if neither a member nor a proxy sent
    // anything, the fault may be this node's own. Lifeguard counts each missing nack; where most of
    // a fleet dies at once that would slow every survivor down, though they reach each other, and
    // failures would be seen too late.
    if (now - receivedAtTicks > timings.absenceTicks()) {
      health.degrade(Math.max(1, unanswered.missingNacks));
    }
    stateMachine.suspect(unanswered.target, now);
  }

  /** Begins a period, and with it a probe unless one is still open, if it is time. */
  void startPeriodIfDue(long now) {
    if (now < nextPeriodAtTicks) {
      return;
    }
    long periodTicks = timings.periodTicks() * (1 + health.multiplier());
    nextPeriodAtTicks = Math.max(nextPeriodAtTicks + periodTicks, now + periodTicks / 2);
    if (probe != null) {
      return; // it began in a longer period, when this node was slower
    }
    periods++;
    List<Integer> unreachable = table.shuffledUnreachablePeers(random);
    boolean reconnecting = !unreachable.isEmpty()
        && (periods % MembershipTimings.RECONNECT_PERIODS == 0 || table.liveCount() <= 1);
    int target = reconnecting ? unreachable.get(random.nextInt(unreachable.size())) : nextOfRound();
    if (target >= 0) {
      probe = new Probe(sender.nextSequenceNumber(), target, now, periodTicks, reconnecting);
      sender.send(target, Kind.PING, probe.sequenceNumber, target, now);
    }
  }

  /** The next live member of the round, -1 if there is none. */
  private int nextOfRound() {
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

  /** A datagram of a member has arrived, whatever it says. */
  void received(long now) {
    receivedAtTicks = now;
  }

  /** Ends the open probe if that is its answer; the target's own renews the leases. */
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

  /** A proxy has no answer of the target, and thereby shows that this node is reachable. */
  void notAcknowledged(MembershipMessage nack) {
    if (probe != null && probe.sequenceNumber == nack.sequenceNumber()) {
      probe.missingNacks = Math.max(0, probe.missingNacks - 1);
    }
  }

  /** Begins anew after this node did not run: its open probe must blame nobody. */
  void restart(long now) {
    probe = null;
    nextPeriodAtTicks = now;
  }
}
