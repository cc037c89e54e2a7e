package saltlatch.node;

import org.junit.jupiter.api.parallel.Isolated;

/**
 * The same pressure on a node whose configuration states far more memory than its JVM's heap has.
 * Guards against budgets that follow the configured memory alone: they were larger than the heap.
 */
@Isolated
class LargeLimitsMemoryPressureIT extends MemoryPressureIT {
  @Override
  int memoryMb() {
    return 2_048;
  }

  @Override
  int descriptorLimit() {
    return 4_096;
  }

  @Override
  int stoppingClients() {
    return 2_000;
  }
}
