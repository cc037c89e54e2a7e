package saltlatch.node;

import saltlatch.state.ConnectionMemory;
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
  /** A third of the process's memory; the rest is for code, threads and direct buffers. */
  private static final int HEAP_DIVISOR = 3;
  /** Half of the heap for messages; a heap that is nearly full is collected without end. */
  private static final int MESSAGE_HEAP_DIVISOR = 2;
  /** Of the heap, for messages, even if the unreserved bytes of all connections exceed its half. */
  private static final int MIN_MESSAGE_HEAP_DIVISOR = 16;
  /** Two for requests in flight, and one each for the other three budgets. */
  private static final int REQUEST_PARTS = 2;
  private static final int PARTS = REQUEST_PARTS + 3;
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

  /**
   * Returns the budgets for what all connections together hold of messages. Together with the
   * unreserved bytes of the connections they fill at most half of the heap.
   *
   * @param maxHeapBytes the size to which the JVM's heap may grow, which the configured memory does
   *                     not change
   */
  NodeMemory newMemory(long maxHeapBytes) {
    long heapBytes = Math.min(maxHeapBytes, memoryMb * BYTES_PER_MB / HEAP_DIVISOR);
    long messageBytes = Math.max(heapBytes / MESSAGE_HEAP_DIVISOR - unreservedBytes(),
        heapBytes / MIN_MESSAGE_HEAP_DIVISOR);
    long partBytes = messageBytes / PARTS;
    return new NodeMemory(new MemoryBudget(partBytes), new MemoryBudget(REQUEST_PARTS * partBytes),
        new MemoryBudget(partBytes), new MemoryBudget(partBytes));
  }

  /**
   * Returns what all connections may hold without a reservation: a client's an incomplete command
   * and unsent replies, an app server's an incomplete reply.
   */
  private long unreservedBytes() {
    long accounts = 2L * maxClientConnections() + maxServerConnections();
    return accounts * ConnectionMemory.UNRESERVED_BYTES;
  }
}
