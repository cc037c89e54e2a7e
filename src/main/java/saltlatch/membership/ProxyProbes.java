package saltlatch.membership;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import saltlatch.membership.MembershipMessage.Kind;

/**
 * Probes that this node sends as another member's proxy (SWIM's ping request), with Lifeguard's
 * nack: the requester learns in time that the target does not answer, and that the proxy does.
 *
 * <p>Invariant: at most as many at once as the fleet has members; one more is not served.
 */
final class ProxyProbes {
  /** Part of the period, from the requester's first probe, after which a proxy sends its nack. */
  private static final double NACK_FRACTION = 0.7;

  private record ProxyProbe(int requester, int sequenceNumber, int target, long nackAtTicks) {}

  private final MembershipTimings timings;
  private final MemberTable table;
  private final MessageSender sender;
  // by this node's own sequence number
  private final Map<Integer, ProxyProbe> probes = new TreeMap<>();

  ProxyProbes(MembershipTimings timings, MemberTable table, MessageSender sender) {
    this.timings = timings;
    this.table = table;
    this.sender = sender;
  }

  /** A member asks for a probe of another one. */
  void start(int requester, MembershipMessage request, long now) {
    int target = request.target();
    if (!table.contains(target) || target == table.ownIndex() || probes.size() >= table.size()) {
      return;
    }
    int ownNumber = sender.nextSequenceNumber();
    long nackAfterTicks = (long) ((NACK_FRACTION - FailureDetector.DIRECT_TIMEOUT_FRACTION)
        * timings.periodTicks());
    probes.put(ownNumber,
        new ProxyProbe(requester, request.sequenceNumber(), target, now + nackAfterTicks));
    sender.send(target, Kind.PING, ownNumber, target, now);
  }

  /** Passes a target's ack on to its requester. */
  void acknowledged(int from, MembershipMessage ack, long now) {
    ProxyProbe probe = probes.remove(ack.sequenceNumber());
    if (probe != null && probe.target == from) {
      sender.send(probe.requester, Kind.ACK, probe.sequenceNumber, probe.target, now);
    }
  }

  /** Sends the nacks that are due. */
  void sendNacks(long now) {
    Iterator<ProxyProbe> remaining = probes.values().iterator();
    while (remaining.hasNext()) {
      ProxyProbe probe = remaining.next();
      if (now >= probe.nackAtTicks) {
        remaining.remove();
        sender.send(probe.requester, Kind.NACK, probe.sequenceNumber, probe.target, now);
      }
    }
  }

  /** This node did not run: its proxies' words would come too late. */
  void clear() {
    probes.clear();
  }
}
