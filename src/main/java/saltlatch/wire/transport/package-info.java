/**
 * What all partners' connections share: how they are opened and closed, how calls end
 * ({@link saltlatch.wire.transport.CallResult}), and the view that the edge has of the event loop
 * ({@link saltlatch.wire.transport.Scheduler}). May import {@code saltlatch.api} and
 * {@code saltlatch.state}. Used by the packages of the partners on the node's one event loop; owns
 * no state.
 */
package saltlatch.wire.transport;
