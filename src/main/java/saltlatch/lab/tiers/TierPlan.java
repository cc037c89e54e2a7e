package saltlatch.lab.tiers;

/**
 * The layout of a run: one source, two tiers of relays, hollow nodes of which some start at once
 * when all others are there.
 *
 * @param upper         relays that follow the source
 * @param lower         relays that follow the upper ones and that nodes follow
 * @param entries       app servers in the list
 * @param nodes         hollow nodes in all
 * @param startAtOnce   of these, those that start at one instant
 * @param processes     that the hollow nodes share
 */
public record TierPlan(int upper, int lower, int entries, int nodes, int startAtOnce,
    int processes) {
  /**
   * Heap of a hollow node, measured with 200 nodes at 10 entries and 20 at 34,000: 0.06 MB and 578
   * bytes an entry.
   */
  private static final long NODE_BYTES = 70_000;

  private static final long ENTRY_BYTES = 600;
  private static final double HEAP_ROOM = 1.3; // what the collector needs on top of what is held
  private static final long PROCESS_BYTES = 160L << 20; // of a JVM beside what its nodes hold
  private static final int RELAY_HEAP_MB = 192;
  private static final int SOURCE_HEAP_MB = 384;
  // direct memory, code and stacks of a relay or the source
  private static final double OUTSIDE_HEAP = 1.5;

  /** Names what can't be run. */
  public TierPlan {
    if (upper < 1 || lower < 2)
      throw new IllegalArgumentException("a relay above and two below, at the least");
    if (entries < 1) throw new IllegalArgumentException("a list wants an entry");
    if (startAtOnce < 1 || startAtOnce >= nodes) {
      throw new IllegalArgumentException("of the nodes some start at once and some before");
    }
    if (processes < 2)
      throw new IllegalArgumentException("two processes of hollow nodes, at the least");
  }

  /** Processes of the nodes that start first. */
  int firstProcesses() {
    return Math.max(1,
        Math.min(processes - 1, Math.round((float) processes * (nodes - startAtOnce) / nodes)));
  }

  /** Processes of those that start at once. */
  int atOnceProcesses() {
    return processes - firstProcesses();
  }

  int heapMb(int nodesOfOne) {
    return (int) ((PROCESS_BYTES + HEAP_ROOM * nodesOfOne * (NODE_BYTES + ENTRY_BYTES * entries))
        / (1 << 20));
  }

  int relayHeapMb() {
    return RELAY_HEAP_MB;
  }

  int sourceHeapMb() {
    return SOURCE_HEAP_MB;
  }

  /** Memory that all processes may take. */
  public long bytes() {
    double relays = OUTSIDE_HEAP * ((upper + lower) * RELAY_HEAP_MB + SOURCE_HEAP_MB);
    double hollow = processes * heapMb((nodes + processes - 1) / processes);
    return (long) ((relays + hollow) * (1 << 20));
  }
}
