/**
 * The capacity page, docs/CAPACITY.md: the cost of each role at the target's size, computed from
 * committed measurements and documented assumptions. Only
 * {@link saltlatch.lab.capacity.CapacityData} performs I/O.
 */
package saltlatch.lab.capacity;
