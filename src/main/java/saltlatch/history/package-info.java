/**
 * Writes what one process did, an event of JSON a line, for people and the laboratory to compare
 * processes afterwards.
 *
 * <p>Knows the form of a line but not the kinds of events: a node's stand in its history file's
 * class, the laboratory's in its own. Imports only the logging library, whose classes it keeps
 * apart from a node without a history. Thread-safe: a line is written whole.
 */
package saltlatch.history;
