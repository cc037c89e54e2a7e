package saltlatch.lab.tiers;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltlatch.lab.rig.ChildJvm;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.lab.tiers.PropagationDelay.Applied;

/** A process that runs a group of hollow nodes, with the report and the log that it writes. */
final class HollowGroup implements AutoCloseable {
  // word of the index in "hollow: N of N nodes have a list, all of them index I"
  private static final int INDEX_WORD_POSITION = 12;

  private final ChildJvm process;
  private final Path report;
  private final Path log;
  private final int nodes;

  HollowGroup(TierPlan plan, Path jar, Path dir, String name, int first, int nodes,
      String discovery, double startOverSeconds) throws IOException {
    this.nodes = nodes;
    report = dir.resolve(name + ".jsonl");
    log = dir.resolve(name + ".log");
    Files.deleteIfExists(report);
    process = new ChildJvm(
        List.of("-Xmx" + plan.heapMb(nodes) + "m", "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn"),
        jar,
        List.of("lab", "hollow", "--nodes", "" + nodes, "--first", "" + first, "--discovery",
            discovery, "--start-over-seconds", "" + startOverSeconds, "--report", "" + report),
        log);
  }

  int nodes() {
    return nodes;
  }

  long cpuMs() throws IOException {
    return ProcessMetrics.cpu(process.pid()).processMs();
  }

  long rssBytes() throws IOException {
    return ProcessMetrics.rssBytes(process.pid());
  }

  /**
   * Returns whether all nodes have applied this index or a later one, according to the last status
   * line in the log.
   */
  boolean allApplied(long index) throws IOException {
    if (!process.alive()) throw new IOException(
        "expected a running process of " + nodes + " hollow nodes, but it has ended, see " + log);
    List<String> logLines = Files.readAllLines(log);
    for (int i = logLines.size() - 1; i >= 0; i--) {
      String[] words = logLines.get(i).replace(",", "").split(" ", 0);
      if (!words[0].equals("hollow:") || words.length <= INDEX_WORD_POSITION) continue;
      return words[1].equals(words[3]) && Long.parseLong(words[INDEX_WORD_POSITION]) >= index;
    }
    return false;
  }

  /** Returns the indexes that each node has applied, by the node's name and in order of time. */
  Map<String, List<Applied>> applied() throws IOException {
    Map<String, List<Applied>> appliedByNode = new HashMap<>();
    for (String reportLine : Files.readAllLines(report)) {
      // skips samples and an incompletely written last line
      if (!reportLine.startsWith("{\"node\"") || !reportLine.endsWith("}")) continue;
      JsonObject line = JsonParser.parseString(reportLine).getAsJsonObject();
      appliedByNode.computeIfAbsent(line.get("node").getAsString(), name -> new ArrayList<>())
          .add(new Applied(line.get("index").getAsLong(), line.get("at_nanos").getAsLong()));
    }
    return appliedByNode;
  }

  @Override
  public void close() {
    process.close();
  }
}
