/**
 * The relay as a program: sockets on one event loop, as events and actions of a {@link
 * saltlatch.distribution.Distributor}. It follows one discovery agent or relay, and serves the
 * endpoint list to nodes and further relays.
 *
 * <p>It may import {@code saltlatch.distribution} and {@code saltlatch.wire.transport}. {@code
 * saltlatch.cli} starts it. Everything is owned by the relay's event loop.
 */
package saltlatch.relay;
