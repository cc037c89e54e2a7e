/**
 * The client side towards the counter, which keeps the total of units by name for the whole fleet:
 * the lines of its protocol, its connections, and the calls that wait for an answer.
 *
 * <p>It may import {@code saltlatch.api}, {@code saltlatch.state}, {@code saltlatch.wire} and its
 * packages {@code resp} and {@code transport}. Owned by the node's event loop, whose adapter calls
 * it and is its listener.
 */
package saltlatch.wire.counter;
