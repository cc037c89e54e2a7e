package saltlatch.node;

import saltlatch.wire.appserver.AppServerClient;
import saltlatch.wire.counter.CounterClient;
import saltlatch.wire.discovery.DiscoveryClient;
import saltlatch.wire.peer.PeerSocket;

/**
 * The clients of this node's partners. Immutable; each client is owned by the event loop.
 *
 * @param counter null: there is no counter
 * @param peers   null: this node has no peers
 */
record OutboundClients(AppServerClient appServers, EndpointDirectory directory,
    CounterClient counter, DiscoveryClient discovery, PeerSocket peers) {}
