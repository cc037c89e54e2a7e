package saltlatch.node;

import saltlatch.wire.appserver.AppServerClient;
import saltlatch.wire.counter.CounterClient;
import saltlatch.wire.discovery.DiscoveryClient;
import saltlatch.wire.peer.PeerSocket;

/**
 * The clients through which this node reaches app servers, the counter, discovery and its peers.
 * Immutable; each client is owned by the event loop.
 *
 * @param directory maps the app servers to their IDs
 * @param counter   null if there is no counter
 * @param peers     null if this node has no peers
 */
record OutboundClients(AppServerClient appServers, EndpointDirectory directory,
    CounterClient counter, DiscoveryClient discovery, PeerSocket peers) {}
