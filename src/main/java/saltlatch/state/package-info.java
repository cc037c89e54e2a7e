/**
 * The mutable state that several parts of a node share: requests in flight, idle connections,
 * timers, numbers assigned to names, and metrics, each in a class.
 *
 * <p>Does no I/O, reads no clock and makes no decisions. Imports nothing from {@code wire}, {@code
 * node} or {@code policy}, which use it. Each instance is owned by one event loop and is not
 * thread-safe.
 */
package saltlatch.state;
