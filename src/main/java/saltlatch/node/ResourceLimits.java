package saltlatch.node;

/**
 * What this node may use of the machine: memory and file descriptors, and how it divides them. Its
 * own needs come first; what is left of the descriptors is divided between clients and app servers.
 */
public record ResourceLimits(int memoryMb, int descriptors) {
  /** The JVM's own, the counter's, discovery's, the listening sockets', those just accepted. */
  private static final int RESERVED_DESCRIPTORS = 72;
  private static final int MIN_SHARED_DESCRIPTORS = 64;
  /** The fewest with which a node starts. */
  static final int MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + MIN_SHARED_DESCRIPTORS;
  /** A third of the memory is heap, which has more to hold than requests. */
  private static final int REQUEST_MEMORY_DIVISOR = 16;
  private static final long BYTES_PER_MB = 1024 * 1024;

  /**
   * Connections that clients may have open: a third of all descriptors for those with requests, and
   * half as many for those that have sent nothing yet.
   */
  int maxClientConnections() {
    return Math.min(descriptors / 2, (descriptors - RESERVED_DESCRIPTORS) * 3 / 5);
  }

  /** Connections to app servers that may be open at a time. */
  int maxServerConnections() {
    return descriptors - RESERVED_DESCRIPTORS - maxClientConnections();
  }

  /** Bytes that all requests in flight together may hold. */
  long maxRequestBytes() {
    return memoryMb * BYTES_PER_MB / REQUEST_MEMORY_DIVISOR;
  }
}
