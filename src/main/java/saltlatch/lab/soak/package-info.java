/**
 * Seeded runs of several node processes that are ended and killed while clients go on using their
 * open connections. Checks that every request gets its final answer in time. Everything but the
 * nodes runs in this JVM. Not used by a serving node.
 */
package saltlatch.lab.soak;
