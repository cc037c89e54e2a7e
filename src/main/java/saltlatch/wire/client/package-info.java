/**
 * The server side of the client protocol. Decodes commands
 * ({@link saltlatch.wire.client.ClientCommandDecoder}), writes final responses
 * ({@code PendingReply}) and owns the connections ({@link saltlatch.wire.client.ClientListener});
 * makes no decisions about requests. May import {@code saltlatch.api}, {@code saltlatch.state},
 * {@code saltlatch.wire}, {@code wire.resp} and {@code wire.transport}. Called by
 * {@code saltlatch.node} on the node's single event loop.
 */
package saltlatch.wire.client;
