package saltlatch.lab.scale;

/**
 * Upper bounds on the machine's resources that a scale test uses at one size.
 *
 * @param bytes     memory of all processes
 * @param processes processes that the test starts
 */
public record ResourceRequirements(long bytes, int processes) {}
