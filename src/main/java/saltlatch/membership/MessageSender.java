package saltlatch.membership;

import saltlatch.membership.MembershipMessage.Kind;

/**
 * Fills in what every datagram of this node carries besides its question or answer: incarnation,
 * digest, whether it vouches for the receiver, and piggybacked updates.
 */
final class MessageSender {
  private final MemberTable table;
  private final Dissemination dissemination;
  private final LeaseGrantor vouching;
  private final Membership.Output output;
  private int sequenceNumber;

  MessageSender(MemberTable table, Dissemination dissemination, LeaseGrantor vouching,
      Membership.Output output) {
    this.table = table;
    this.dissemination = dissemination;
    this.vouching = vouching;
    this.output = output;
  }

  /** The number of a new probe of this node, for itself or as a proxy. */
  int nextSequenceNumber() {
    return ++sequenceNumber;
  }

  void send(int receiver, Kind kind, int number, int target, long now) {
    output.send(receiver, new MembershipMessage(kind, number, target, table.ownIncarnation(),
        table.digest(), vouching.grantsLeaseTo(receiver, now), dissemination.updatesFor(receiver)));
  }
}
