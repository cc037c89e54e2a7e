package saltlatch.lab.scale;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Members of one fleet that know each other, the classes that {@code serve} runs over a network in
 * memory and virtual time ({@link MemberNetwork}), no datagram lost: {@code members.begin} (seconds
 * until all that start at once agree), {@code members.rest} (of one node: datagrams, bytes and CPU
 * a second, heap held) and {@code members.failure} (seconds from a death until the first, and all,
 * hold it failed: P50_MS is when half do). CPU is that of the protocol, its form and the network in
 * memory, no socket's.
 */
final class MembersScale implements ScaleTest {
  private static final long LONGEST = 3_600 * MemberNetwork.TICKS_PER_SECOND; // virtual: an hour
  private static final long WINDOW_S = 5; // virtual seconds of rest
  private static final double SECOND_MS = 1_000;
  private static final double MILLION = 1e6; // ns in a ms
  // of one member of a fleet of 2,700, at the most
  private static final long MEMBER_BYTES = 640L << 10;
  private static final int MOST_MEMBERS = 2_700; // for which that holds

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

  /** Each knows all of the others: memory grows with the square. */
  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(
        MEMBER_BYTES * size * Math.max(size, MOST_MEMBERS) / MOST_MEMBERS, 0);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) {
    Map<String, MetricValues> measured = new LinkedHashMap<>();
    long heapBefore = heldHeap();
    MemberNetwork network = new MemberNetwork((int) size, repeat);
    long begin = network.until(network::agree, LONGEST);
    measured.put("members.begin", MetricValues.of(Quantity.SECONDS, seconds(begin)));
    measured.put("members.rest",
        rest(network, size).and(Quantity.HEAP_BYTES, (heldHeap() - heapBefore) / (double) size));
    measured.put("members.failure", failure(network, (int) size));
    return measured;
  }

  private static MetricValues rest(MemberNetwork network, long size) {
    network.readMembers(true);
    network.advance(MemberNetwork.TICKS_PER_SECOND); // each has been looked at once
    long datagrams = network.datagrams();
    long bytes = network.bytes();
    long cpu = cpuNanos();
    network.advance(WINDOW_S * MemberNetwork.TICKS_PER_SECOND);
    double units = size * (double) WINDOW_S;
    double used = (cpuNanos() - cpu) / MILLION / units;
    network.readMembers(false);
    double sent = (network.datagrams() - datagrams) / units;
    double written = (network.bytes() - bytes) / units;
    return MetricValues.of(Quantity.CPU_MS, used).and(Quantity.MESSAGES_IN, sent)
        .and(Quantity.MESSAGES_OUT, sent).and(Quantity.BYTES_IN, written)
        .and(Quantity.BYTES_OUT, written);
  }

  private static MetricValues failure(MemberNetwork network, int size) {
    int victim = size / 2;
    network.kill(victim);
    long first = network.until(() -> network.countFailedViews(victim) > 0, LONGEST);
    long half = first + network.until(() -> network.countFailedViews(victim) >= size / 2, LONGEST);
    long all = half + network.until(() -> network.countFailedViews(victim) == size - 1, LONGEST);
    return MetricValues.of(Quantity.SECONDS, seconds(all)).and(Quantity.P50_MS,
        seconds(half) * SECOND_MS);
  }

  private static double seconds(long time) {
    return time < 0 ? Double.NaN : (double) time / MemberNetwork.TICKS_PER_SECOND;
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
