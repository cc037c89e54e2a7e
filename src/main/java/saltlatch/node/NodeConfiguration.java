package saltlatch.node;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import saltlatch.api.GatewaySettings;
import saltlatch.settings.HostSettings;
import saltlatch.wire.discovery.EndpointList;

/**
 * The configuration of one node: addresses, resource limits and settings. Immutable and therefore
 * thread-safe; {@link NodeConfigurationReader} decodes it.
 *
 * @param name              the node's name within the fleet
 * @param historyDirectory  the directory of the history files; null if no history is written
 * @param membershipEnabled whether nodes monitor each other's liveness
 * @param cachedEndpoints   the endpoint list that the node uses until discovery sends one
 */
public record NodeConfiguration(String name, Addresses addresses, ResourceLimits resourceLimits,
    Path historyDirectory, boolean membershipEnabled, EndpointList cachedEndpoints,
    HostSettings hostSettings, GatewaySettings settings) {

  /**
   * Addresses of this node, of discovery, of the counter and of the peers.
   *
   * @param counter       null if there is no counter
   * @param peerListen    this node's address for datagrams; null if it has no peers
   * @param peers         datagram addresses by node number, including this node's
   * @param peerBroadcast address that reaches all peers with one datagram
   */
  public record Addresses(SocketAddress listen, SocketAddress discovery, SocketAddress counter,
      SocketAddress peerListen, List<SocketAddress> peers, SocketAddress peerBroadcast) {}

  /** Returns whether this node exchanges datagrams with peers. */
  boolean hasPeers() {
    return hostSettings.gossipAllowed() && addresses.peerListen() != null;
  }
}
