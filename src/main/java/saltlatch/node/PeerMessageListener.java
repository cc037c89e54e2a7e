package saltlatch.node;

import saltlatch.api.GatewayEvent;
import saltlatch.api.GossipMessage;
import saltlatch.wire.peer.GossipCodec;
import saltlatch.wire.peer.MembershipCodec;
import saltlatch.wire.peer.PeerSocket;

/**
 * Hands each peer's datagram to the protocol that it belongs to: membership or quota gossip. One of
 * another form is dropped. Called by the peer socket, on the event loop.
 */
final class PeerMessageListener implements PeerSocket.Listener {
  private final EventBatcher events;
  private MembershipAdapter membership; // null: not enabled, or not started yet

  PeerMessageListener(EventBatcher events) {
    this.events = events;
  }

  /** Sets who takes membership's datagrams; they are dropped before. */
  void start(MembershipAdapter adapter) {
    membership = adapter;
  }

  @Override
  public void datagramReceived(int sender, byte[] datagram) {
    if (datagram.length > 0 && datagram[0] == MembershipCodec.MAGIC_BYTE) {
      if (membership != null) membership.received(sender, datagram);
      return;
    }
    GossipMessage message = GossipCodec.decode(datagram);
    if (message != null) events.add(new GatewayEvent.GossipReceived(sender, message));
  }
}
