package saltlatch.lab.tiers;

/**
 * The layout of a run: one source, two tiers of relays, and hollow nodes. Some of the nodes start
 * at the same time, after all other nodes have a list.
 *
 * @param upper         number of relays that follow the source
 * @param lower         number of relays that follow the upper relays and that nodes follow
 * @param entries       number of app servers in the list
 * @param nodes         total number of hollow nodes
 * @param startAtOnce   number of these nodes that start at the same time
 * @param processes     number of processes that run the hollow nodes
 */
public record TierPlan(int upper, int lower, int entries, int nodes, int startAtOnce,
    int processes) {
  /**
   * Heap of a hollow node without entries. With 200 nodes at 10 entries and 20 nodes at 34,000
   * entries, a node used 0.06 MB and 578 bytes per entry.
   */
  private static final long HEAP_BYTES_PER_NODE = 70_000;

  private static final long HEAP_BYTES_PER_ENTRY = 600;
  private static final double GC_HEADROOM_FACTOR = 1.3; // free heap for the garbage collector
  private static final long BASE_HEAP_BYTES = 160L << 20; // heap of a JVM without its nodes
  private static final int RELAY_HEAP_MB = 192;
  private static final int SOURCE_HEAP_MB = 384;
  // total memory over heap of a relay or the source: direct memory, code and stacks
  private static final double MEMORY_PER_HEAP = 1.5;

  /** Checks the plan; the exception's message names the violated limit. */
  public TierPlan {
    if (upper < 1 || lower < 2) throw new IllegalArgumentException(
        "expected at least 1 upper and 2 lower relays, found " + upper + " and " + lower);
    if (entries < 1)
      throw new IllegalArgumentException("expected at least 1 entry in the list, found " + entries);
    if (startAtOnce < 1 || startAtOnce >= nodes) {
      throw new IllegalArgumentException(
          "expected at least 1 node that starts at once and fewer than all " + nodes
              + " nodes, found " + startAtOnce);
    }
    if (processes < 2) throw new IllegalArgumentException(
        "expected at least 2 processes of hollow nodes, found " + processes);
  }

  /** Returns the number of processes for the nodes that start first. */
  int firstProcesses() {
    return Math.max(1,
        Math.min(processes - 1, Math.round((float) processes * (nodes - startAtOnce) / nodes)));
  }

  /** Returns the number of processes for the nodes that start at the same time. */
  int atOnceProcesses() {
    return processes - firstProcesses();
  }

  int heapMb(int nodesInProcess) {
    return (int) ((BASE_HEAP_BYTES + GC_HEADROOM_FACTOR * nodesInProcess
        * (HEAP_BYTES_PER_NODE + HEAP_BYTES_PER_ENTRY * entries)) / (1 << 20));
  }

  int relayHeapMb() {
    return RELAY_HEAP_MB;
  }

  int sourceHeapMb() {
    return SOURCE_HEAP_MB;
  }

  /** Returns the memory in bytes that all processes together may use. */
  public long bytes() {
    double relaysAndSourceMb = MEMORY_PER_HEAP * ((upper + lower) * RELAY_HEAP_MB + SOURCE_HEAP_MB);
    double hollowNodesMb = processes * heapMb((nodes + processes - 1) / processes);
    return (long) ((relaysAndSourceMb + hollowNodesMb) * (1 << 20));
  }
}
