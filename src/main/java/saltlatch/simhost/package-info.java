/**
 * Hosts the policy for the simulator: decodes frames of events from standard input and encodes
 * frames of actions to standard output, as the socket protocol's page gives them. It decides
 * nothing.
 *
 * <p>Imports {@code api}, {@code settings} and the codec of gossip datagrams in {@code wire.peer}.
 * Called by the main class for {@code simhost}, on one thread, without a node or an event loop.
 */
package saltlatch.simhost;
