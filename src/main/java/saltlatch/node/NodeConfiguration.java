package saltlatch.node;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import saltlatch.api.GatewaySettings;
import saltlatch.settings.HostSettings;
import saltlatch.wire.discovery.EndpointList;

/**
 * Where this node stands, whom it talks to and what it may use: immutable, decoded once by
 * {@link NodeConfigurationReader} and shared freely between threads.
 *
 * @param name              of this node among its fleet
 * @param historyDirectory  null: no history is kept
 * @param membershipEnabled whether nodes watch each other's liveness
 * @param cachedEndpoints   the endpoint list as it was known before the start
 */
public record NodeConfiguration(String name, Addresses addresses, ResourceLimits resourceLimits,
    Path historyDirectory, boolean membershipEnabled, EndpointList cachedEndpoints,
    HostSettings hostSettings, GatewaySettings settings) {

  /**
   * Where this node and its partners listen.
   *
   * @param counter       null: there is no counter
   * @param peerListen    for datagrams; null: this node has no peers
   * @param peers         by the node's number, this one's own too
   * @param peerBroadcast reaches all peers at once
   */
  public record Addresses(SocketAddress listen, SocketAddress discovery, SocketAddress counter,
      SocketAddress peerListen, List<SocketAddress> peers, SocketAddress peerBroadcast) {}

  /** Whether this node exchanges datagrams with its peers. */
  boolean hasPeers() {
    return hostSettings.gossipAllowed() && addresses.peerListen() != null;
  }
}
