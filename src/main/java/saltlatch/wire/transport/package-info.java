/**
 * Code that the connections to all partners share: opening and closing them, the results of calls
 * ({@link saltlatch.wire.transport.CallResult}), and the interface to the event loop
 * ({@link saltlatch.wire.transport.Scheduler}). May import {@code saltlatch.api} and
 * {@code saltlatch.state}. Used by the partners' packages on the node's single event loop; owns no
 * state.
 */
package saltlatch.wire.transport;
