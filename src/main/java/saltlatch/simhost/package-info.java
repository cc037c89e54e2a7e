/**
 * Hosts the policy for the simulator: decodes frames of events from standard input and encodes
 * frames of actions to standard output, in the format of the socket protocol's documentation. Makes
 * no decisions.
 *
 * <p>Imports {@code api}, {@code settings} and the codec of gossip datagrams in {@code wire.peer}.
 * Called by the main class for the command {@code simhost}, on one thread, without a node or an
 * event loop.
 */
package saltlatch.simhost;
