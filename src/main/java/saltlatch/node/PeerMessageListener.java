package saltlatch.node;

import saltlatch.api.GatewayEvent;
import saltlatch.api.GossipMessage;
import saltlatch.wire.peer.GossipCodec;
import saltlatch.wire.peer.MembershipCodec;
import saltlatch.wire.peer.PeerSocket;

/**
 * Dispatches each peer's datagram to its protocol, membership or quota gossip, and drops malformed
 * ones. The peer socket calls it on the event loop.
 */
final class PeerMessageListener implements PeerSocket.Listener {
  private final EventBatcher events;
  private MembershipAdapter membership; // null if not enabled or not started

  PeerMessageListener(EventBatcher events) {
    this.events = events;
  }

  /** Sets the receiver of membership datagrams, which are dropped before this call. */
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
