/**
 * Writes the history of a process, a JSON line for each event, from which people and the test lab
 * compare processes after a run.
 *
 * <p>Defines the format of a line, but not the kinds of events: the class of a node's history file
 * defines those of a node, and the test lab defines its own. Imports only the logging
 * library, whose classes a node without a history does not load. Thread-safe: lines of different
 * threads are never mixed.
 */
package saltlatch.history;
