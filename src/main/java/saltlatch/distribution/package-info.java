/**
 * Decision logic of a relay, without I/O: which upstream to follow, which lists and changes to
 * accept, and what to send to each watcher.
 *
 * <p>The package imports no other package of this program. {@code saltlatch.relay} runs a {@link
 * saltlatch.distribution.Distributor} on its event loop and passes the current time, in ms; tests
 * run it in virtual time. The classes are not thread-safe.
 */
package saltlatch.distribution;
