/**
 * Measures how edge nodes serve their usual clients while others flood one of them with messages
 * that cost more than their bytes. Nodes are child processes that share one core; everything else
 * runs in this JVM. Not used by a serving node.
 */
package saltlatch.lab.flood;
