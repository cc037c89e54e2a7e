package saltlatch.membership;

import saltlatch.membership.MembershipMessage.Kind;

/**
 * Sends this node's messages, and adds to each one the sender's incarnation and digest, whether it
 * grants a lease to the receiver, and piggybacked updates.
 */
final class MessageSender {
  private final MemberTable table;
  private final Dissemination dissemination;
  private final LeaseGrantor leaseGrantor;
  private final Membership.Output output;
  private int lastSequenceNumber;

  MessageSender(MemberTable table, Dissemination dissemination, LeaseGrantor leaseGrantor,
      Membership.Output output) {
    this.table = table;
    this.dissemination = dissemination;
    this.leaseGrantor = leaseGrantor;
    this.output = output;
  }

  /** Returns the sequence number of a new probe that this node sends for itself or as a proxy. */
  int nextSequenceNumber() {
    return ++lastSequenceNumber;
  }

  void send(int receiver, Kind kind, int sequenceNumber, int target, long now) {
    output.send(receiver,
        new MembershipMessage(kind, sequenceNumber, target, table.ownIncarnation(), table.digest(),
            leaseGrantor.grantsLeaseTo(receiver, now), dissemination.updatesFor(receiver)));
  }
}
