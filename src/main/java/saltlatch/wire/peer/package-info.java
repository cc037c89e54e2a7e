/**
 * Datagrams between edge nodes: the socket, and the codecs of quota gossip and of membership
 * messages, which are distinguished by their first byte.
 *
 * <p>May import {@code saltlatch.api}, {@code saltlatch.state} and the messages of {@code
 * saltlatch.membership}. Owned by the node's event loop, on which the node's adapter calls the
 * socket and listens to it; the codecs are stateless and are also used by tests and by the
 * simulator's host.
 */
package saltlatch.wire.peer;
