/**
 * The client of discovery: the HTTP watch of the endpoint list, and the parser of its stream, which
 * enforces size limits.
 *
 * <p>May import {@code saltlatch.api}, {@code saltlatch.state}, {@code saltlatch.wire} and its
 * package {@code transport}. Owned by the node's event loop, on which the node's adapter calls the
 * client and listens to it. The node's configuration decodes its initial list with the same codec.
 */
package saltlatch.wire.discovery;
