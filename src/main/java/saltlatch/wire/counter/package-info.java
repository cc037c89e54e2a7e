/**
 * The client of the counter, which keeps the total of units by name for the fleet: the codec of its
 * protocol, the connections, and the calls that wait for an answer.
 *
 * <p>May import {@code saltlatch.api}, {@code saltlatch.state}, {@code saltlatch.wire} and its
 * packages {@code resp} and {@code transport}. Owned by the node's event loop, on which the node's
 * adapter calls the client and listens to its results.
 */
package saltlatch.wire.counter;
