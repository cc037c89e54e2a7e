/**
 * The client side towards discovery: the watch of the endpoint list over HTTP, and the reading of
 * its stream under bounds.
 *
 * <p>It may import {@code saltlatch.api}, {@code saltlatch.state}, {@code saltlatch.wire} and its
 * package {@code transport}. Owned by the node's event loop, whose adapter calls it and is its
 * listener; the node's configuration reads the list that it starts with by the same codec.
 */
package saltlatch.wire.discovery;
