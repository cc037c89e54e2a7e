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
 * What distribution over two tiers of relays does and costs at a size: nodes that start at once,
 * changes at an ordinary day's rate and at 2 a second, a relay killed; and the same nodes on the
 * source directly. Each phase is written as measurements: {@code P50_MS}, {@code P99_MS},
 * {@code MAX_MS} from put to in force over all changes and nodes ({@code COUNT} of them); CPU ms
 * and bytes are a second, for a node, or for a relay (the mean of its tier) or the source.
 */
public final class RelayScale implements AutoCloseable {
  private static final double A_DAY = 8_200 / 86_400.0; // changes a second
  private static final double BUSY = 2; // changes a second
  private static final long SETTLE_S = 180; // until all nodes have a list or the last change
  private static final long LOOK_MS = 200;
  private static final double NANOS = 1e9; // in a second

  /** What has been used by an instant. */
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

  /** Starts the source and the relays. */
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

  /** All phases, one after the other; {@code seconds} for each in which changes come. */
  public void run(long seconds) throws Exception {
    startFirst();
    startAtOnce("relay.start300");
    changes("relay.day", A_DAY, seconds, () -> {});
    changes("relay.change", BUSY, seconds, () -> {});
    changes("relay.killed", BUSY, seconds / 2, tiers::killLower);
    tiers.agent().forwardTo(List.of(tiers.source().port()));
    tiers.agent().cut();
    tiers.agent().askedFrom(plan.nodes());
    changes("relay.direct", BUSY, seconds, () -> {});
    endAtOnce();
    startAtOnce("relay.direct.start300");
  }

  private interface Act {
    void run() throws Exception;
  }

  private void startFirst() throws Exception {
    int nodes = plan.nodes() - plan.startAtOnce();
    start("first", nodes, plan.firstProcesses(), 1 + nodes / 50.0); // 50 a second
    settle(1);
    say(nodes + " nodes have a list");
  }

  private void startAtOnce(String what) throws Exception {
    Usage before = usage();
    List<HollowGroup> started = start(what, plan.startAtOnce(), plan.atOnceProcesses(), 0);
    settle(tiers.rate(0));
    Usage after = usage();
    Map<String, List<Applied>> applied = new HashMap<>();
    for (HollowGroup group : started) applied.putAll(group.applied());
    Times times = PropagationDelay.ofStarts(applied);
    write(what, values(times).and(Quantity.SECONDS, seconds(before, after)));
    servers(what, before, after);
  }

  private void endAtOnce() {
    for (int i = 0; i < plan.atOnceProcesses(); i++) groups.remove(groups.size() - 1).close();
  }

  private List<HollowGroup> start(String name, int nodes, int processes, double overSeconds)
      throws IOException {
    List<HollowGroup> started = new ArrayList<>();
    for (int i = 0; i < processes; i++) {
      int some = nodes / processes + (i < nodes % processes ? 1 : 0);
      started.add(new HollowGroup(plan, jar, dir, name + i, nextNode, some, tiers.agent().address(),
          overSeconds));
      nextNode += some;
    }
    groups.addAll(started);
    return started;
  }

  private void changes(String what, double perSecond, long seconds, Act act) throws Exception {
    Usage before = usage();
    long from = tiers.rate(perSecond);
    TimeUnit.SECONDS.sleep(seconds / 2);
    act.run();
    TimeUnit.SECONDS.sleep(seconds - seconds / 2);
    long to = tiers.rate(0);
    Usage after = usage();
    settle(to);
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
    servers(what, before, after);
  }

  private double bytesToNodes(String what, Usage before, Usage after) {
    double bytes = 0;
    List<Server> tellers = what.startsWith("relay.direct") ? List.of(tiers.source())
        : tiers.lower();
    for (Server server : tellers)
      bytes += after.bytes.get(server.name()) - before.bytes.get(server.name());
    return bytes;
  }

  private MetricValues values(Times times) {
    if (times.missing() > 0 || times.backwards() > 0) {
      say("FAILED: " + times.missing() + " never in force, " + times.backwards()
          + " went backwards");
    }
    MetricValues values = MetricValues.of(Quantity.COUNT, times.count());
    if (times.count() == 0) return values;
    return values.and(Quantity.P50_MS, times.p50Ms()).and(Quantity.P99_MS, times.p99Ms())
        .and(Quantity.MAX_MS, times.maxMs());
  }

  /** What the source and a relay of each tier have used in a phase. */
  private void servers(String what, Usage before, Usage after) throws Exception {
    tier(what + ".source", List.of(tiers.source()), before, after);
    if (what.startsWith("relay.direct")) return;
    tier(what + ".upper", tiers.upper(), before, after);
    tier(what + ".lower", tiers.lower(), before, after);
  }

  private void tier(String what, List<Server> tier, Usage before, Usage after) throws IOException {
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

  private Usage usage() throws Exception {
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

  /** Mean of a node, with its part of the process that it shares. */
  private double nodeRssBytes() throws IOException {
    double bytes = 0;
    for (HollowGroup group : groups) bytes += group.rssBytes();
    return bytes / plan.nodes();
  }

  private static double seconds(Usage before, Usage after) {
    return (after.atNanos - before.atNanos) / NANOS;
  }

  private void settle(long index) throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_S);
    for (HollowGroup group : groups) {
      while (!group.allAt(index)) {
        if (System.nanoTime() > until)
          throw new IOException("not all nodes have index " + index + " after " + SETTLE_S + " s");
        Thread.sleep(LOOK_MS);
      }
    }
  }

  private void write(String what, MetricValues values) throws IOException {
    Measurement made = new Measurement(what,
        "hollow nodes before " + plan.entries() + " app servers", plan.nodes(), repeat,
        values.map(), commit);
    measurements.write(made.toJson() + "\n");
    measurements.flush();
    say(made.toJson());
  }

  private void say(String text) {
    progress.println(text);
  }

  /** Ends all processes. */
  @Override
  public void close() {
    groups.forEach(HollowGroup::close);
    tiers.close();
  }
}
