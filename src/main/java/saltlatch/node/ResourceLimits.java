package saltlatch.node;

import saltlatch.state.MemoryBudget;
import saltlatch.state.NodeMemory;

/**
 * The memory and file descriptors that this node may use, and how it divides them. Some descriptors
 * are reserved; the others are divided between connections to clients and to app servers.
 *
 * @param memoryMb    memory of the process, in MB of 1024 * 1024 bytes
 * @param descriptors file descriptors of the process
 */
public record ResourceLimits(int memoryMb, int descriptors) {
  /** For the JVM, the counter, discovery, listening sockets and connections just accepted. */
  private static final int RESERVED_DESCRIPTORS = 72;
  private static final int MIN_SHARED_DESCRIPTORS = 64;
  /** The minimum number of file descriptors with which a node starts. */
  static final int MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + MIN_SHARED_DESCRIPTORS;
  /** Requests may use 1/16 of the memory; the heap is 1/3 of it and also holds other data. */
  private static final int REQUEST_MEMORY_DIVISOR = 16;
  /** The same share each for incomplete commands, incomplete replies and unsent replies. */
  private static final int MESSAGE_MEMORY_DIVISOR = 32;
  private static final long BYTES_PER_MB = 1024 * 1024;

  /**
   * Returns how many connections clients may have open: a third of all descriptors for connections
   * with requests, and half as many for connections that have not sent anything yet.
   */
  int maxClientConnections() {
    return Math.min(descriptors / 2, (descriptors - RESERVED_DESCRIPTORS) * 3 / 5);
  }

  /** Returns how many connections to app servers may be open at a time. */
  int maxServerConnections() {
    return descriptors - RESERVED_DESCRIPTORS - maxClientConnections();
  }

  /** Returns the budgets for what all connections together hold of messages. */
  NodeMemory newMemory() {
    long memoryBytes = memoryMb * BYTES_PER_MB;
    long messageBytes = memoryBytes / MESSAGE_MEMORY_DIVISOR;
    return new NodeMemory(new MemoryBudget(messageBytes),
        new MemoryBudget(memoryBytes / REQUEST_MEMORY_DIVISOR), new MemoryBudget(messageBytes),
        new MemoryBudget(messageBytes));
  }
}
