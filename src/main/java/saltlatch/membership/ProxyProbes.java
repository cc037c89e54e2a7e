package saltlatch.membership;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import saltlatch.membership.MembershipMessage.Kind;

/**
 * Indirect probes: probes that this node sends as another member's proxy (SWIM's ping request),
 * with Lifeguard's nack. The nack reaches the requester before its probe times out, and shows that
 * the target has not answered but the proxy can be reached.
 *
 * <p>Invariant: the number of open probes is at most the number of members; requests beyond that
 * are dropped.
 */
final class ProxyProbes {
  /**
   * Fraction of the period after which a proxy sends its nack, counted from the requester's direct
   * probe.
   */
  private static final double NACK_FRACTION = 0.7;

  private record ProxyProbe(int requester, int sequenceNumber, int target, long nackAtTicks) {}

  private final MembershipTimings timings;
  private final MemberTable table;
  private final MessageSender sender;
  // by the sequence number of this node's probe
  private final Map<Integer, ProxyProbe> probes = new TreeMap<>();

  ProxyProbes(MembershipTimings timings, MemberTable table, MessageSender sender) {
    this.timings = timings;
    this.table = table;
    this.sender = sender;
  }

  /** Probes the target of a member's request. */
  void start(int requester, MembershipMessage request, long now) {
    int target = request.target();
    if (!table.contains(target) || target == table.ownIndex() || probes.size() >= table.size()) {
      return;
    }
    int ownSequenceNumber = sender.nextSequenceNumber();
    long nackAfterTicks = (long) ((NACK_FRACTION - FailureDetector.DIRECT_TIMEOUT_FRACTION)
        * timings.periodTicks());
    probes.put(ownSequenceNumber,
        new ProxyProbe(requester, request.sequenceNumber(), target, now + nackAfterTicks));
    sender.send(target, Kind.PING, ownSequenceNumber, target, now);
  }

  /** Forwards a target's ack to the requester. */
  void acknowledged(int from, MembershipMessage ack, long now) {
    ProxyProbe probe = probes.remove(ack.sequenceNumber());
    if (probe != null && probe.target == from) {
      sender.send(probe.requester, Kind.ACK, probe.sequenceNumber, probe.target, now);
    }
  }

  /** Sends the nacks that are due. */
  void sendNacks(long now) {
    Iterator<ProxyProbe> iterator = probes.values().iterator();
    while (iterator.hasNext()) {
      ProxyProbe probe = iterator.next();
      if (now >= probe.nackAtTicks) {
        iterator.remove();
        sender.send(probe.requester, Kind.NACK, probe.sequenceNumber, probe.target, now);
      }
    }
  }

  /**
   * Drops the open probes after this node did not run for a while: their acks and nacks would reach
   * the requesters too late.
   */
  void clear() {
    probes.clear();
  }
}
