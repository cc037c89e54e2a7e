package saltlatch.lab.scale;

import java.util.Locale;
import saltlatch.lab.rig.ProcessMetrics;

/**
 * Limits the resources of a scale test on a shared machine to half of its memory and
 * {@value #MAX_PROCESSES} processes.
 *
 * @param memoryBytes total memory of the machine
 */
public record Machine(long memoryBytes) {
  static final int MAX_PROCESSES = 300;
  private static final double MAX_MEMORY_PART = 0.5;
  private static final double GIB = 1L << 30;

  /** A test requires more than the limits allow; the message names both. */
  public static final class ResourceLimitException extends Exception {
    private static final long serialVersionUID = 1;

    ResourceLimitException(String message) {
      super(message);
    }
  }

  /** Returns this machine, with the memory that {@code /proc/meminfo} reports. */
  public static Machine here() {
    return new Machine(ProcessMetrics.machineBytes());
  }

  /** Throws an exception if a size of a test requires more than the limits allow. */
  public void admit(String test, long size, ResourceRequirements requirements)
      throws ResourceLimitException {
    double maxBytes = memoryBytes * MAX_MEMORY_PART;
    if (requirements.bytes() > maxBytes) {
      throw new ResourceLimitException(String.format(Locale.ROOT,
          "%s at size %d requires up to %.1f GiB of memory; "
              + "the limit is half of this machine's, %.1f GiB",
          test, size, requirements.bytes() / GIB, maxBytes / GIB));
    }
    if (requirements.processes() > MAX_PROCESSES) {
      throw new ResourceLimitException(
          String.format(Locale.ROOT, "%s at size %d requires %d processes; the limit is %d", test,
              size, requirements.processes(), MAX_PROCESSES));
    }
  }
}
