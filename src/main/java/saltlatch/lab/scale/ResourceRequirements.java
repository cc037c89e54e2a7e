package saltlatch.lab.scale;

/**
 * What one size of a scale test takes of the machine at the most.
 *
 * @param bytes     of memory, over all processes
 * @param processes started beside this one
 */
public record ResourceRequirements(long bytes, int processes) {}
