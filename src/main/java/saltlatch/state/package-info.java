/**
 * The mutable state that several parts of a node share, one class for each kind: requests in
 * flight, idle connections, timers, numbers of names, metrics.
 *
 * <p>No I/O, no clock and no decisions; it imports nothing of {@code wire}, {@code node} or
 * {@code policy}, which use it. Every instance is owned by one event loop and is not thread-safe.
 */
package saltlatch.state;
