package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saltlatch.state.ConnectionMemory;
import saltlatch.state.MemoryBudget;
import saltlatch.state.NodeMemory;

/** How a node divides the memory and the descriptors that its configuration and its JVM give it. */
class ResourceLimitsTest {
  private static final int BYTES_PER_MB = 1 << 20;
  private static final int STEP_BYTES = 1 << 10;

  /** Returns how many bytes the budget grants in total. */
  private static long grantedBytes(MemoryBudget budget) {
    long bytes = 0;
    while (budget.tryReserve(STEP_BYTES)) bytes += STEP_BYTES;
    return bytes;
  }

  private static long grantedBytes(NodeMemory memory) {
    return grantedBytes(memory.incompleteCommands()) + grantedBytes(memory.requests())
        + grantedBytes(memory.incompleteReplies()) + grantedBytes(memory.unsentReplies());
  }

  /**
   * Guards against budgets of a configured memory that the JVM's heap does not have: with the
   * memory of the deployment page's example they were five times the heap. The heaps are what the
   * deploy file's JVM uses, or a third of a smaller memory.
   */
  @ParameterizedTest
  @CsvSource({"2048, 4096, 61", "192, 1024, 61", "128, 256, 42", "32, 256, 10"})
  void messagesFillAtMostHalfOfTheHeap(int memoryMb, int descriptors, int heapMb) {
    ResourceLimits limits = new ResourceLimits(memoryMb, descriptors);
    long maxHeapBytes = (long) heapMb * BYTES_PER_MB;
    long unreservedBytes = (2L * limits.maxClientConnections() + limits.maxServerConnections())
        * ConnectionMemory.UNRESERVED_BYTES;
    long messageBytes = grantedBytes(limits.newMemory(maxHeapBytes)) + unreservedBytes;
    assertTrue(messageBytes <= maxHeapBytes / 2, messageBytes + " bytes of messages");
  }

  /** However many connections there may be, a long request is still accepted. */
  @Test
  void longRequestsPassWithManyDescriptors() {
    NodeMemory memory = new ResourceLimits(64, 20_000).newMemory(20L * BYTES_PER_MB);
    assertTrue(memory.incompleteCommands().tryReserve(72 << 10));
    assertTrue(memory.requests().tryReserve(72 << 10));
    assertTrue(memory.unsentReplies().tryReserve(72 << 10));
  }
}
