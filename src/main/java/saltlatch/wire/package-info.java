/**
 * The node's network layer. It has one package for each partner ({@code client},
 * {@code appserver}, {@code counter}, {@code discovery}, {@code peer}, {@code configuration}), each
 * with the partner's codec and the sockets that carry it, and two shared packages ({@code resp},
 * {@code transport}). This package itself holds only the exceptions that all codecs throw, and
 * {@link saltlatch.wire.Excerpt} for the values in their messages.
 *
 * <p>
 * The field names of the protocols appear only in the codecs, which map them to the names that the
 * rest of the code uses. May import {@code saltlatch.api} and {@code saltlatch.state}; never
 * {@code node}, {@code policy} or {@code simhost}. Called by {@code saltlatch.node} on the node's
 * single event loop; nothing here is thread-safe.
 */
package saltlatch.wire;
