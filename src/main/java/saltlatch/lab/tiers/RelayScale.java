package saltlatch.lab.tiers;

import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.MetricValues;
import saltlatch.lab.scale.Quantity;
import saltlatch.lab.tiers.PropagationDelay.Applied;
import saltlatch.lab.tiers.PropagationDelay.Put;
import saltlatch.lab.tiers.PropagationDelay.Times;
import saltlatch.lab.tiers.TierProcesses.Server;

/**
 * Measures distribution over two tiers of relays at a given size. The phases are: nodes that start
 * at once, changes at the rate of an ordinary day and at 2 per second, a killed relay, and the same
 * nodes directly on the source. The measurements of each phase contain the propagation delay from
 * put to in force over all changes and nodes ({@code P50_MS}, {@code P99_MS}, {@code MAX_MS}) and
 * its number of values ({@code COUNT}). Processor time in ms and bytes are per second: for one
 * node, for one relay as the mean of its tier, or for the source.
 */
public final class RelayScale implements AutoCloseable {
  private static final double ORDINARY_CHANGES_PER_SECOND = 8_200 / 86_400.0; // 8,200 a day
  private static final double PEAK_CHANGES_PER_SECOND = 2;
  private static final long APPLY_TIMEOUT_SECONDS = 180; // until all nodes have applied an index
  private static final long POLL_INTERVAL_MS = 200;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Total resource usage up to a point in time; the maps are by the name of the server. */
  private record Usage(long atNanos, double nodeCpuMs, Map<String, Double> cpuMs,
      Map<String, Double> bytes) {}

  private final TierPlan plan;
  private final Path jar;
  private final Path dir;
  private final TierProcesses tiers;
  private final List<HollowGroup> groups = new ArrayList<>();
  private final Writer measurements;
  private final PrintStream progress;
  private final String commit;
  private final int repeat;
  private int nextNode;

  /** Starts the source and the relays of this plan. */
  public RelayScale(TierPlan plan, Path jar, Path dir, Writer measurements, PrintStream progress,
      String commit, int repeat) throws Exception {
    this.plan = plan;
    this.jar = jar;
    this.dir = dir;
    this.measurements = measurements;
    this.progress = progress;
    this.commit = commit;
    this.repeat = repeat;
    tiers = new TierProcesses(plan, jar, dir);
  }

  /** Runs all phases in sequence; {@code seconds} is the duration of a phase with changes. */
  public void run(long seconds) throws Exception {
    startInitialNodes();
    startAtOnce("relay.start300");
    runChanges("relay.day", ORDINARY_CHANGES_PER_SECOND, seconds, () -> {});
    runChanges("relay.change", PEAK_CHANGES_PER_SECOND, seconds, () -> {});
    runChanges("relay.killed", PEAK_CHANGES_PER_SECOND, seconds / 2, tiers::killLower);
    tiers.agent().forwardTo(List.of(tiers.source().port()));
    tiers.agent().cut();
    tiers.agent().askedFrom(plan.nodes());
    runChanges("relay.direct", PEAK_CHANGES_PER_SECOND, seconds, () -> {});
    stopNodesStartedAtOnce();
    startAtOnce("relay.direct.start300");
  }

  private interface PhaseAction {
    void run() throws Exception;
  }

  private void startInitialNodes() throws Exception {
    int nodes = plan.nodes() - plan.startAtOnce();
    startGroups("first", nodes, plan.firstProcesses(), 1 + nodes / 50.0); // 50 nodes per second
    awaitApplied(1);
    printProgress(nodes + " nodes have a list");
  }

  private void startAtOnce(String what) throws Exception {
    Usage before = readUsage();
    List<HollowGroup> started = startGroups(what, plan.startAtOnce(), plan.atOnceProcesses(), 0);
    awaitApplied(tiers.setChangeRate(0));
    Usage after = readUsage();
    Map<String, List<Applied>> applied = new HashMap<>();
    for (HollowGroup group : started) applied.putAll(group.applied());
    Times times = PropagationDelay.ofStarts(applied);
    write(what, values(times).and(Quantity.SECONDS, seconds(before, after)));
    writeServerUsage(what, before, after);
  }

  private void stopNodesStartedAtOnce() {
    for (int i = 0; i < plan.atOnceProcesses(); i++) groups.remove(groups.size() - 1).close();
  }

  private List<HollowGroup> startGroups(String name, int nodes, int processes, double overSeconds)
      throws IOException {
    List<HollowGroup> started = new ArrayList<>();
    for (int i = 0; i < processes; i++) {
      int groupSize = nodes / processes + (i < nodes % processes ? 1 : 0);
      started.add(new HollowGroup(plan, jar, dir, name + i, nextNode, groupSize,
          tiers.agent().address(), overSeconds));
      nextNode += groupSize;
    }
    groups.addAll(started);
    return started;
  }

  private void runChanges(String what, double perSecond, long seconds, PhaseAction action)
      throws Exception {
    Usage before = readUsage();
    long from = tiers.setChangeRate(perSecond);
    TimeUnit.SECONDS.sleep(seconds / 2);
    action.run();
    TimeUnit.SECONDS.sleep(seconds - seconds / 2);
    long to = tiers.setChangeRate(0);
    Usage after = readUsage();
    awaitApplied(to);
    List<Put> puts = tiers.puts().stream().filter(put -> put.index() > from && put.index() <= to)
        .toList();
    Map<String, List<Applied>> applied = new HashMap<>();
    for (HollowGroup group : groups) applied.putAll(group.applied());
    double bytes = bytesToNodes(what, before, after) / seconds(before, after) / plan.nodes();
    double cpu = (after.nodeCpuMs - before.nodeCpuMs) / seconds(before, after) / plan.nodes();
    write(what,
        values(PropagationDelay.of(puts, applied)).and(Quantity.SECONDS, seconds(before, after))
            .and(Quantity.MESSAGES_IN, puts.size()).and(Quantity.BYTES_IN, bytes)
            .and(Quantity.CPU_MS, cpu).and(Quantity.RSS_BYTES, nodeRssBytes()));
    writeServerUsage(what, before, after);
  }

  private double bytesToNodes(String what, Usage before, Usage after) {
    double bytes = 0;
    List<Server> servers = what.startsWith("relay.direct") ? List.of(tiers.source())
        : tiers.lower();
    for (Server server : servers)
      bytes += after.bytes.get(server.name()) - before.bytes.get(server.name());
    return bytes;
  }

  private MetricValues values(Times times) {
    if (times.missing() > 0 || times.backwards() > 0) {
      printProgress("FAILED: " + times.missing() + " never in force, " + times.backwards()
          + " went backwards");
    }
    MetricValues values = MetricValues.of(Quantity.COUNT, times.count());
    if (times.count() == 0) return values;
    return values.and(Quantity.P50_MS, times.p50Ms()).and(Quantity.P99_MS, times.p99Ms())
        .and(Quantity.MAX_MS, times.maxMs());
  }

  /** Writes the resource usage of the source and of one relay of each tier in a phase. */
  private void writeServerUsage(String what, Usage before, Usage after) throws Exception {
    writeTierUsage(what + ".source", List.of(tiers.source()), before, after);
    if (what.startsWith("relay.direct")) return;
    writeTierUsage(what + ".upper", tiers.upper(), before, after);
    writeTierUsage(what + ".lower", tiers.lower(), before, after);
  }

  private void writeTierUsage(String what, List<Server> tier, Usage before, Usage after)
      throws IOException {
    double cpu = 0;
    double bytes = 0;
    double rss = 0;
    for (Server server : tier) {
      cpu += after.cpuMs.get(server.name()) - before.cpuMs.get(server.name());
      bytes += after.bytes.get(server.name()) - before.bytes.get(server.name());
      rss = Math.max(rss, (double) server.rssBytes());
    }
    double each = tier.size() * seconds(before, after);
    write(what, MetricValues.of(Quantity.CPU_MS, cpu / each).and(Quantity.BYTES_OUT, bytes / each)
        .and(Quantity.RSS_BYTES, rss).and(Quantity.COUNT, tier.size()));
  }

  private Usage readUsage() throws Exception {
    Map<String, Double> cpu = new HashMap<>();
    Map<String, Double> bytes = new HashMap<>();
    List<Server> relays = new ArrayList<>(tiers.upper());
    relays.addAll(tiers.lower());
    for (Server relay : relays) {
      cpu.put(relay.name(), (double) relay.cpuMs());
      bytes.put(relay.name(), (double) tiers.relayBytes(relay));
    }
    cpu.put(tiers.source().name(), (double) tiers.source().cpuMs());
    bytes.put(tiers.source().name(), (double) tiers.sourceBytes());
    double nodes = 0;
    for (HollowGroup group : groups) nodes += group.cpuMs();
    return new Usage(System.nanoTime(), nodes, cpu, bytes);
  }

  /** Returns the mean resident memory of a node, including its share of the process. */
  private double nodeRssBytes() throws IOException {
    double bytes = 0;
    for (HollowGroup group : groups) bytes += group.rssBytes();
    return bytes / plan.nodes();
  }

  private static double seconds(Usage before, Usage after) {
    return (after.atNanos - before.atNanos) / NANOS_PER_SECOND;
  }

  private void awaitApplied(long index) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(APPLY_TIMEOUT_SECONDS);
    for (HollowGroup group : groups) {
      while (!group.allApplied(index)) {
        if (System.nanoTime() > deadlineNanos) throw new IOException(
            "expected all " + group.nodes() + " nodes of a group to apply index " + index
                + " within " + APPLY_TIMEOUT_SECONDS + " s");
        Thread.sleep(POLL_INTERVAL_MS);
      }
    }
  }

  private void write(String what, MetricValues values) throws IOException {
    Measurement measurement = new Measurement(what,
        "hollow nodes before " + plan.entries() + " app servers", plan.nodes(), repeat,
        values.map(), commit);
    measurements.write(measurement.toJson() + "\n");
    measurements.flush();
    printProgress(measurement.toJson());
  }

  private void printProgress(String text) {
    progress.println(text);
  }

  /** Stops all processes. */
  @Override
  public void close() {
    groups.forEach(HollowGroup::close);
    tiers.close();
  }
}
