/**
 * The edge of the node: one package for each partner ({@code client}, {@code appserver},
 * {@code counter}, {@code discovery}, {@code peer}, {@code configuration}), each with the partner's
 * codec and the sockets that carry it, and what they share ({@code resp}, {@code transport}). This
 * package itself holds only the family of errors that all codecs throw.
 *
 * <p>
 * The protocol's own field names are known in the codecs alone, which map them to the names that
 * the rest of the code uses. May import {@code saltlatch.api} and {@code saltlatch.state}; never
 * {@code node}, {@code policy} or {@code simhost}. Called by {@code saltlatch.node}, on the node's
 * one event loop; nothing here is safe for use by several threads.
 */
package saltlatch.wire;
