/**
 * The interface between the policy of a gateway node and its host: events
 * ({@link saltlatch.api.GatewayEvent}) go to the policy, actions
 * ({@link saltlatch.api.GatewayActions}) to the host; the policy reads its settings
 * ({@link saltlatch.api.GatewaySettings}) at the start.
 *
 * <p>This package imports no other package of saltlatch. {@code saltlatch.policy} implements
 * {@link saltlatch.api.GatewayPolicy}; the hosts ({@code saltlatch.node} on sockets,
 * {@code saltlatch.simhost} in the simulator) call it and carry out its actions.
 *
 * <p>Events, settings and messages are immutable after their creation. A policy is confined to one
 * thread: its host calls it and receives its actions on that thread only. All times are in
 * {@linkplain saltlatch.api.Ticks ticks}, points in time are ticks since the Unix epoch; units are
 * the units that quotas count.
 */
package saltlatch.api;
