/**
 * The capacity page, docs/CAPACITY.md: what each role costs at the target's size, computed from
 * committed measurements and stated assumptions. No I/O but in
 * {@link saltlatch.lab.capacity.CapacityData}.
 */
package saltlatch.lab.capacity;
