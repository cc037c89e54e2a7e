/**
 * App servers: attempts and health checks out, replies in. Encodes commands
 * ({@code AppServerCommandEncoder}), decodes replies
 * ({@link saltlatch.wire.appserver.AppServerReply}) and owns the connections
 * ({@link saltlatch.wire.appserver.AppServerClient}); decides nothing. May import
 * {@code saltlatch.api}, {@code saltlatch.state}, {@code saltlatch.wire}, {@code wire.resp} and
 * {@code wire.transport}. Called by {@code saltlatch.node} on the node's one event loop.
 */
package saltlatch.wire.appserver;
