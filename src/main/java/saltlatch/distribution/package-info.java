/**
 * The decisions of a relay, without I/O: which upstream it follows, which lists and changes it
 * takes, and what it sends each watcher.
 *
 * <p>It imports no other package of this program. {@code saltlatch.relay} owns a {@link
 * saltlatch.distribution.Distributor} on its event loop and passes the time in, in ms; tests drive
 * it in virtual time. Nothing here is safe for use by several threads.
 */
package saltlatch.distribution;
