package saltlatch.lab.scale;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures the membership protocol by fleet size. It runs the classes that {@code serve} uses on an
 * in-memory network in virtual time without loss ({@link MemberNetwork}). {@code members.begin}
 * holds the seconds until all members, which start at once, have the same view.
 * {@code members.rest} holds one node's datagrams, bytes and CPU time a second and its heap.
 * {@code members.failure} holds the seconds from the stop of a member until all others consider it
 * failed; its P50_MS is the time until half of them do. The CPU time is that of the protocol, the
 * encoding of messages and the in-memory network, without sockets.
 */
final class MembersScale implements ScaleTest {
  private static final long MAX_TICKS = 3_600 * MemberNetwork.TICKS_PER_SECOND; // a virtual hour
  private static final long WINDOW_SECONDS = 5; // virtual time without failures
  private static final double MS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MS = 1e6;
  // upper bound on the memory of one member in a fleet of MAX_MEASURED_MEMBERS
  private static final long MEMBER_BYTES = 640L << 10;
  private static final int MAX_MEASURED_MEMBERS = 2_700;

  @Override
  public String name() {
    return "members";
  }

  @Override
  public String grows() {
    return "members";
  }

  @Override
  public List<Long> sizes() {
    return List.of(100L, 300L, 1_000L, 2_700L);
  }

  /**
   * Returns the memory, which grows with the square: each member stores the state of all others.
   */
  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(
        MEMBER_BYTES * size * Math.max(size, MAX_MEASURED_MEMBERS) / MAX_MEASURED_MEMBERS, 0);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) {
    Map<String, MetricValues> measured = new LinkedHashMap<>();
    long heapBefore = heldHeap();
    MemberNetwork network = new MemberNetwork((int) size, repeat);
    long agreedTicks = network.until(network::agree, MAX_TICKS);
    measured.put("members.begin", MetricValues.of(Quantity.SECONDS, seconds(agreedTicks)));
    measured.put("members.rest",
        rest(network, size).and(Quantity.HEAP_BYTES, (heldHeap() - heapBefore) / (double) size));
    measured.put("members.failure", failure(network, (int) size));
    return measured;
  }

  private static MetricValues rest(MemberNetwork network, long size) {
    network.readMembers(true);
    network.advance(MemberNetwork.TICKS_PER_SECOND); // so that each state is read once before
    long datagramsBefore = network.datagrams();
    long bytesBefore = network.bytes();
    long cpuNanosBefore = cpuNanos();
    network.advance(WINDOW_SECONDS * MemberNetwork.TICKS_PER_SECOND);
    double memberSeconds = size * (double) WINDOW_SECONDS;
    double cpuMs = (cpuNanos() - cpuNanosBefore) / NANOS_PER_MS / memberSeconds;
    network.readMembers(false);
    double datagramsPerSecond = (network.datagrams() - datagramsBefore) / memberSeconds;
    double bytesPerSecond = (network.bytes() - bytesBefore) / memberSeconds;
    return MetricValues.of(Quantity.CPU_MS, cpuMs).and(Quantity.MESSAGES_IN, datagramsPerSecond)
        .and(Quantity.MESSAGES_OUT, datagramsPerSecond).and(Quantity.BYTES_IN, bytesPerSecond)
        .and(Quantity.BYTES_OUT, bytesPerSecond);
  }

  private static MetricValues failure(MemberNetwork network, int size) {
    int victim = size / 2;
    network.kill(victim);
    long firstTicks = network.until(() -> network.countFailedViews(victim) > 0, MAX_TICKS);
    long halfTicks = firstTicks
        + network.until(() -> network.countFailedViews(victim) >= size / 2, MAX_TICKS);
    long allTicks = halfTicks
        + network.until(() -> network.countFailedViews(victim) == size - 1, MAX_TICKS);
    return MetricValues.of(Quantity.SECONDS, seconds(allTicks)).and(Quantity.P50_MS,
        seconds(halfTicks) * MS_PER_SECOND);
  }

  private static double seconds(long ticks) {
    return ticks < 0 ? Double.NaN : (double) ticks / MemberNetwork.TICKS_PER_SECOND;
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long heldHeap() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  @Override
  public String remark() {
    return "members: protocol over a network in memory, virtual time, no loss; sockets are not in these figures.";
  }
}
