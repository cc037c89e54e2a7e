package saltlatch.lab.scale;

import java.util.Locale;
import saltlatch.lab.rig.ProcessMetrics;

/**
 * The limits that a scale test keeps on a shared machine: half of its memory, and some hundred
 * processes.
 *
 * @param memoryBytes of the machine
 */
public record Machine(long memoryBytes) {
  static final int MOST_PROCESSES = 300;
  private static final double MEMORY_PART = 0.5;
  private static final double GIB = 1L << 30;

  /** What was asked for exceeds the limits; the message says by how much. */
  public static final class ResourceLimitException extends Exception {
    private static final long serialVersionUID = 1;

    ResourceLimitException(String message) {
      super(message);
    }
  }

  /** This machine, from {@code /proc/meminfo}. */
  public static Machine here() {
    return new Machine(ProcessMetrics.machineBytes());
  }

  /** Fails where the size would exceed half of the memory or the processes. */
  public void admit(String test, long size, ResourceRequirements requirements)
      throws ResourceLimitException {
    double most = memoryBytes * MEMORY_PART;
    if (requirements.bytes() > most) {
      throw new ResourceLimitException(String.format(Locale.ROOT,
          "%s at %d may take %.1f GiB of memory; half of this machine's is %.1f GiB", test, size,
          requirements.bytes() / GIB, most / GIB));
    }
    if (requirements.processes() > MOST_PROCESSES) {
      throw new ResourceLimitException(
          String.format(Locale.ROOT, "%s at %d wants %d processes; the most is %d", test, size,
              requirements.processes(), MOST_PROCESSES));
    }
  }
}
