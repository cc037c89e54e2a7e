/**
 * Clients: commands in, replies out. Decodes commands
 * ({@link saltlatch.wire.client.ClientCommandDecoder}), writes final responses
 * ({@code PendingReply}) and owns the connections ({@link saltlatch.wire.client.ClientListener});
 * decides nothing about requests. May import {@code saltlatch.api}, {@code saltlatch.state},
 * {@code saltlatch.wire}, {@code wire.resp} and {@code wire.transport}. Called by
 * {@code saltlatch.node} on the node's one event loop.
 */
package saltlatch.wire.client;
