package saltlatch.lab.scale;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import saltlatch.lab.hollow.NodeConfig;
import saltlatch.lab.rig.ChildJvm;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.lab.rig.Processes;

/**
 * Compares the network traffic of hollow nodes with that of real nodes. It runs the same number of
 * each, first the real ones, with membership on and a source with the same list and changes. The
 * source counts bytes and messages of the watches; the nodes count datagrams.
 */
public final class HollowComparison {
  /**
   * Largest difference allowed between a hollow and a real node's traffic, as a part of the real.
   */
  public static final double MAX_DIFFERENCE = 0.10;
  static final List<String> HOLLOW_FLAGS = List.of("-Xmx1g", "-XX:+UseSerialGC",
      "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn");
  private static final int ENTRIES = 2_000;
  private static final double CHANGES_PER_SECOND = 5;
  private static final long START_TIMEOUT_MS = 60_000; // until all nodes have the list
  private static final long POLL_INTERVAL_MS = 50;
  private static final long SETTLE_MS = 12_000; // for JIT compilation and membership convergence
  private static final long WINDOW_MS = 20_000; // in which changes are measured
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MIB = 1L << 20;

  /**
   * One measured quantity of a real and a hollow node.
   *
   * @param nodes    number of nodes of each kind
   * @param quantity name of the quantity in the table
   * @param real     value of one real node
   * @param hollow   value of one hollow node
   * @param limited  whether the two must not differ by more than {@link #MAX_DIFFERENCE}
   */
  public record Row(int nodes, String quantity, double real, double hollow, boolean limited) {
    /**
     * Returns the difference of the hollow from the real value, as a part of the real value.
     */
    public double difference() {
      return real == hollow ? 0 : (hollow - real) / real;
    }

    /** Returns whether the difference is within the limit or no limit applies. */
    public boolean passed() {
      return !limited || Math.abs(difference()) <= MAX_DIFFERENCE;
    }
  }

  /** Cost of one node of a kind: totals until it has the list, then rates a second, and RSS. */
  private record Cost(double startBytes, double startMessages, double bytes, double messages,
      double datagramsOut, double datagramsIn, double cpuMs, double rssMib) {}

  /** Datagram counts of all nodes together at a time. */
  private record Datagrams(long out, long in, long atNanos) {}

  /** Running nodes of one kind, real or hollow. */
  private interface Nodes extends AutoCloseable {
    List<Long> pids();

    Datagrams datagrams() throws IOException;

    @Override
    void close();
  }

  private final TestEnvironment environment;

  /** Creates a comparison that starts its processes from this environment. */
  public HollowComparison(TestEnvironment environment) {
    this.environment = environment;
  }

  /** Measures this number of nodes of each kind and returns all rows. */
  public List<Row> compare(int nodes) throws Exception {
    Cost real;
    Cost hollow;
    try (SourceProcess source = new SourceProcess(environment, ENTRIES)) {
      real = cost(source, nodes, real(source, nodes));
    }
    try (SourceProcess source = new SourceProcess(environment, ENTRIES)) {
      hollow = cost(source, nodes, hollow(source, nodes));
    }
    List<Row> rows = new ArrayList<>();
    rows.add(
        new Row(nodes, "bytes in until it has the list", real.startBytes, hollow.startBytes, true));
    rows.add(new Row(nodes, "messages in until it has the list", real.startMessages,
        hollow.startMessages, true));
    rows.add(new Row(nodes, "bytes in a second, 5 changes/s", real.bytes, hollow.bytes, true));
    rows.add(
        new Row(nodes, "messages in a second, 5 changes/s", real.messages, hollow.messages, true));
    rows.add(
        new Row(nodes, "datagrams out a second", real.datagramsOut, hollow.datagramsOut, true));
    rows.add(new Row(nodes, "datagrams in a second", real.datagramsIn, hollow.datagramsIn, true));
    rows.add(new Row(nodes, "CPU ms a second", real.cpuMs, hollow.cpuMs, false));
    rows.add(new Row(nodes, "RSS MiB", real.rssMib, hollow.rssMib, false));
    return rows;
  }

  private static Cost cost(SourceProcess source, int nodes, Nodes startedNodes) throws Exception {
    try (startedNodes) {
      SourceProcess.Sent start = awaitLists(source, nodes);
      Thread.sleep(SETTLE_MS);
      source.rate(CHANGES_PER_SECOND);
      List<ProcessMetrics.Cpu> cpuBefore = new ArrayList<>();
      for (long pid : startedNodes.pids()) cpuBefore.add(ProcessMetrics.cpu(pid));
      Datagrams datagramsBefore = startedNodes.datagrams();
      SourceProcess.Sent sentBefore = source.sent();
      long startedAt = System.nanoTime();
      Thread.sleep(WINDOW_MS);
      SourceProcess.Sent sentAfter = source.sent();
      double nodeSeconds = (System.nanoTime() - startedAt) / NANOS_PER_SECOND * nodes;
      Datagrams datagramsAfter = startedNodes.datagrams();
      double datagramNodeSeconds = (datagramsAfter.atNanos - datagramsBefore.atNanos)
          / NANOS_PER_SECOND * nodes;
      double cpuMs = 0;
      double rssMib = 0;
      for (int i = 0; i < cpuBefore.size(); i++) {
        cpuMs += ProcessMetrics.cpu(startedNodes.pids().get(i)).msSince(cpuBefore.get(i));
        rssMib += ProcessMetrics.rssBytes(startedNodes.pids().get(i)) / MIB;
      }
      return new Cost(start.bytesOut() / (double) nodes, start.messages() / (double) nodes,
          (sentAfter.bytesOut() - sentBefore.bytesOut()) / nodeSeconds,
          (sentAfter.messages() - sentBefore.messages()) / nodeSeconds,
          (datagramsAfter.out - datagramsBefore.out) / datagramNodeSeconds,
          (datagramsAfter.in - datagramsBefore.in) / datagramNodeSeconds, cpuMs / nodeSeconds,
          rssMib / nodes);
    }
  }

  private static SourceProcess.Sent awaitLists(SourceProcess source, int nodes) throws Exception {
    long startedAt = System.nanoTime();
    SourceProcess.Sent sent = source.sent();
    while (sent.snapshots() < nodes) {
      if (System.nanoTime() - startedAt > START_TIMEOUT_MS * NANOS_PER_SECOND / 1_000)
        throw new IOException(
            "expected " + nodes + " lists sent within " + START_TIMEOUT_MS + " ms, found " + sent);
      Thread.sleep(POLL_INTERVAL_MS);
      sent = source.sent();
    }
    return sent;
  }

  private Nodes real(SourceProcess source, int count) throws Exception {
    Processes processes = environment.nodes(
        number -> NodeConfig.of(number, count, source.address()).withMembership(true).json());
    try {
      processes.start(count);
    } catch (IOException e) {
      processes.close();
      throw e;
    }
    return new Nodes() {
      @Override
      public List<Long> pids() {
        List<Long> pids = new ArrayList<>();
        for (int i = 0; i < count; i++) pids.add(processes.pid(i));
        return pids;
      }

      @Override
      public Datagrams datagrams() {
        long out = 0;
        long in = 0;
        for (int i = 0; i < count; i++) {
          Map<String, Long> metrics = processes.metrics(i);
          out += metrics.get("peers_told");
          in += metrics.get("peers_heard");
        }
        return new Datagrams(out, in, System.nanoTime());
      }

      @Override
      public void close() {
        processes.close();
      }
    };
  }

  private Nodes hollow(SourceProcess source, int count) throws IOException {
    Path report = environment.dir().resolve("hollow.jsonl");
    ChildJvm process = new ChildJvm(HOLLOW_FLAGS, environment.tools(),
        List.of("lab", "hollow", "--nodes", "" + count, "--discovery", source.address(),
            "--membership", "--report", report.toString()),
        environment.dir().resolve("hollow.log"));
    return new Nodes() {
      @Override
      public List<Long> pids() {
        return List.of(process.pid());
      }

      /** Returns the counts of the newest sample, which is at most one second old. */
      @Override
      public Datagrams datagrams() throws IOException {
        Datagrams newest = null;
        String text = Files.readString(report);
        for (String line : text.substring(0, text.lastIndexOf('\n') + 1).split("\n", 0)) {
          JsonObject entry = JsonParser.parseString(line).getAsJsonObject();
          if (entry.has("sample_nanos"))
            newest = new Datagrams(entry.get("datagrams_out").getAsLong(),
                entry.get("datagrams_in").getAsLong(), entry.get("sample_nanos").getAsLong());
        }
        return newest;
      }

      @Override
      public void close() {
        process.close();
      }
    };
  }
}
