/**
 * The client side of the app servers' protocol: sends attempts and health checks and receives their
 * replies. Encodes commands ({@code AppServerCommandEncoder}), decodes replies
 * ({@link saltlatch.wire.appserver.AppServerReply}) and owns the connections
 * ({@link saltlatch.wire.appserver.AppServerClient}); makes no decisions. May import
 * {@code saltlatch.api}, {@code saltlatch.state}, {@code saltlatch.wire}, {@code wire.resp} and
 * {@code wire.transport}. Called by {@code saltlatch.node} on the node's single event loop.
 */
package saltlatch.wire.appserver;
