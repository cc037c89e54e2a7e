/**
 * Datagrams between edge nodes: the socket, and the forms of quota gossip and of membership
 * messages, which differ in their first byte.
 *
 * <p>It may import {@code saltlatch.api}, {@code saltlatch.state} and {@code
 * saltlatch.membership}'s messages. Owned by the node's event loop, whose adapter calls it and is
 * its listener; the codecs are stateless and serve tests and the simulator's host too.
 */
package saltlatch.wire.peer;
