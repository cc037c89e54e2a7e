/**
 * The interface between the decisions of a gateway node and their host: events in
 * ({@link saltlatch.api.GatewayEvent}), actions out ({@link saltlatch.api.GatewayActions}),
 * settings at start ({@link saltlatch.api.GatewaySettings}).
 *
 * <p>Imports nothing of saltlatch. {@code saltlatch.policy} implements
 * {@link saltlatch.api.GatewayPolicy}; the hosts ({@code saltlatch.node} on sockets,
 * {@code saltlatch.simhost} in the simulator) call it and carry out its actions.
 *
 * <p>Events, settings and messages are immutable once made. An instance belongs to one thread: its
 * host calls it and is called back on that thread only. All times are in
 * {@linkplain saltlatch.api.Ticks ticks}, points in time are ticks since the Unix epoch; units are
 * those that quotas count.
 */
package saltlatch.api;
