/**
 * One edge node as a process: joins the policy with its partners on one event loop. Events go from
 * the partners' listeners through {@link saltlatch.node.EventBatcher} to the policy; the policy's
 * actions go through {@link saltlatch.node.ActionExecutor} to the partners. It decides nothing.
 *
 * <p>Imports {@code api}, {@code state}, {@code settings}, {@code wire}, {@code membership} and
 * {@code history}, but not {@code policy}: the caller brings a factory. Called by the main class,
 * the command line and the laboratory. One event loop owns everything that changes; other threads
 * only start it, stop it and read the configuration.
 */
package saltlatch.node;
