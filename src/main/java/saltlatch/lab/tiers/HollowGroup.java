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

/** A process of hollow nodes and the report that it writes. */
final class HollowGroup implements AutoCloseable {
  // of what it says: hollow: N of N nodes have a list, all of them index I
  private static final int INDEX_WORD = 12;

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

  /** Whether all of its nodes have applied this index or a later one, as it last said. */
  boolean allAt(long index) throws IOException {
    if (!process.alive()) throw new IOException("a process of hollow nodes has ended, see " + log);
    List<String> said = Files.readAllLines(log);
    for (int i = said.size() - 1; i >= 0; i--) {
      String[] words = said.get(i).replace(",", "").split(" ", 0);
      if (!words[0].equals("hollow:") || words.length <= INDEX_WORD) continue;
      return words[1].equals(words[3]) && Long.parseLong(words[INDEX_WORD]) >= index;
    }
    return false;
  }

  /** What its nodes have applied, by their names, in the order of the times. */
  Map<String, List<Applied>> applied() throws IOException {
    Map<String, List<Applied>> all = new HashMap<>();
    for (String text : Files.readAllLines(report)) {
      // samples, and a line that is being written
      if (!text.startsWith("{\"node\"") || !text.endsWith("}")) continue;
      JsonObject line = JsonParser.parseString(text).getAsJsonObject();
      all.computeIfAbsent(line.get("node").getAsString(), n -> new ArrayList<>())
          .add(new Applied(line.get("index").getAsLong(), line.get("at_nanos").getAsLong()));
    }
    return all;
  }

  @Override
  public void close() {
    process.close();
  }
}
