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
 * Whether hollow nodes send and read what real ones do: the same number of each, one after the
 * other, under a source of the same list and changes, all knowing each other. Bytes and messages of
 * the watches are the source's count, datagrams the nodes' own.
 */
public final class HollowComparison {
  /** By how much a hollow node's bytes and messages may differ from a real one's. */
  public static final double MOST_DIFFERENCE = 0.10;
  static final List<String> HOLLOW_FLAGS = List.of("-Xmx1g", "-XX:+UseSerialGC",
      "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn");
  private static final int ENTRIES = 2_000;
  private static final double CHANGES_PER_SECOND = 5;
  private static final long STARTED_MS = 60_000; // until all have the list
  private static final long LOOK_MS = 50;
  private static final long SETTLE_MS = 12_000; // for compiles, and for all to know each other
  private static final long WINDOW_MS = 20_000; // of changes
  private static final double NANOS = 1e9; // in a second
  private static final double MIB = 1L << 20;

  /**
   * One quantity of one node.
   *
   * @param held whether the two must not differ by more than {@link #MOST_DIFFERENCE}
   */
  public record Row(int nodes, String quantity, double real, double hollow, boolean held) {
    /** Of the hollow node from the real one, as a part of that. */
    public double difference() {
      return real == hollow ? 0 : (hollow - real) / real;
    }

    /** Whether it is as it must be. */
    public boolean passed() {
      return !held || Math.abs(difference()) <= MOST_DIFFERENCE;
    }
  }

  /** What one kind of node cost, of one node; rates a second. */
  private record Cost(double startBytes, double startMessages, double bytes, double messages,
      double datagramsOut, double datagramsIn, double cpuMs, double rssMib) {}

  /** Datagrams of all nodes together by then. */
  private record Datagrams(long out, long in, long atNanos) {}

  /** What the two kinds have in common here. */
  private interface Nodes extends AutoCloseable {
    List<Long> pids();

    Datagrams datagrams() throws IOException;

    @Override
    void close();
  }

  private final TestEnvironment environment;

  public HollowComparison(TestEnvironment environment) {
    this.environment = environment;
  }

  /** All rows of so many nodes. */
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

  private static Cost cost(SourceProcess source, int nodes, Nodes started) throws Exception {
    try (started) {
      SourceProcess.Sent start = awaitLists(source, nodes);
      Thread.sleep(SETTLE_MS);
      source.rate(CHANGES_PER_SECOND);
      List<ProcessMetrics.Cpu> cpu = new ArrayList<>();
      for (long pid : started.pids()) cpu.add(ProcessMetrics.cpu(pid));
      Datagrams datagrams = started.datagrams();
      SourceProcess.Sent sent = source.sent();
      long from = System.nanoTime();
      Thread.sleep(WINDOW_MS);
      SourceProcess.Sent now = source.sent();
      double units = (System.nanoTime() - from) / NANOS * nodes;
      Datagrams later = started.datagrams();
      double datagramUnits = (later.atNanos - datagrams.atNanos) / NANOS * nodes;
      double cpuMs = 0;
      double rss = 0;
      for (int i = 0; i < cpu.size(); i++) {
        cpuMs += ProcessMetrics.cpu(started.pids().get(i)).msSince(cpu.get(i));
        rss += ProcessMetrics.rssBytes(started.pids().get(i)) / MIB;
      }
      return new Cost(start.bytesOut() / (double) nodes, start.messages() / (double) nodes,
          (now.bytesOut() - sent.bytesOut()) / units, (now.messages() - sent.messages()) / units,
          (later.out - datagrams.out) / datagramUnits, (later.in - datagrams.in) / datagramUnits,
          cpuMs / units, rss / nodes);
    }
  }

  private static SourceProcess.Sent awaitLists(SourceProcess source, int nodes) throws Exception {
    long from = System.nanoTime();
    SourceProcess.Sent sent = source.sent();
    while (sent.snapshots() < nodes) {
      if (System.nanoTime() - from > STARTED_MS * NANOS / 1_000)
        throw new IOException("not all started: " + sent);
      Thread.sleep(LOOK_MS);
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

      /** As of the newest sample, which is a second old at the most. */
      @Override
      public Datagrams datagrams() throws IOException {
        Datagrams newest = null;
        String text = Files.readString(report);
        for (String line : text.substring(0, text.lastIndexOf('\n') + 1).split("\n", 0)) {
          JsonObject told = JsonParser.parseString(line).getAsJsonObject();
          if (told.has("sample_nanos"))
            newest = new Datagrams(told.get("datagrams_out").getAsLong(),
                told.get("datagrams_in").getAsLong(), told.get("sample_nanos").getAsLong());
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
