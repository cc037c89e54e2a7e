/**
 * The relay process: connects sockets on one event loop to the events and actions of a {@link
 * saltlatch.distribution.Distributor}. A relay follows one discovery agent or one other relay, and
 * serves the endpoint list to edge nodes and further relays.
 *
 * <p>This package may import {@code saltlatch.distribution} and {@code saltlatch.wire.transport}.
 * {@code saltlatch.cli} starts the relay. All state is confined to the relay's event loop.
 */
package saltlatch.relay;
