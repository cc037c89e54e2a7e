/**
 * One edge node as a process: connects the policy to clients, app servers, the counter, discovery
 * and peers on one event loop. Events go from the listeners through
 * {@link saltlatch.node.EventBatcher} to the policy; the policy's actions go through
 * {@link saltlatch.node.ActionExecutor} to the outbound clients, timers and final responses. The
 * package contains no policy logic.
 *
 * <p>Imports {@code api}, {@code state}, {@code settings}, {@code wire}, {@code membership} and
 * {@code history}, but not {@code policy}, since the caller passes a policy factory. Called by the
 * main class, the command line and the laboratory. One event loop owns all mutable state; other
 * threads only start and stop the node and read the configuration.
 */
package saltlatch.node;
