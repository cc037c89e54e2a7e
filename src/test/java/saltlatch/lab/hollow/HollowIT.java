package saltlatch.lab.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltlatch.lab.rig.ChildJvm;

/**
 * A process of hollow nodes follows a source process: each node applies each change, and ends where
 * the source does.
 */
class HollowIT {
  private static final Path JAR = Path.of("target/saltlatch.jar");
  private static final int NODES = 3;
  private static final int ENTRIES = 500;

  @TempDir Path dir;

  @Test
  void hollowNodesReportTheIndexOfTheSource() throws Exception {
    Path report = dir.resolve("report");
    try (ChildJvm source = new ChildJvm(List.of("-Xmx64m"), JAR,
        List.of("lab", "scale", "source", "--entries", "" + ENTRIES, "--listen", "127.0.0.1:0",
            "--changes-per-second", "20", "--puts", "" + dir.resolve("puts")),
        dir.resolve("source.log"))) {
      String address = source.await("source of " + ENTRIES + " entries on ");
      try (
          ChildJvm hollow = new ChildJvm(
              List.of("-Xmx128m"), JAR, List.of("lab", "hollow", "--nodes", "" + NODES,
                  "--discovery", address, "--seconds", "4", "--report", "" + report),
              dir.resolve("hollow.log"))) {
        assertEquals(0, hollow.waitFor(), () -> "see " + dir);
      }
    }
    Map<Long, Long> puts = new HashMap<>();
    for (JsonObject put : lines(dir.resolve("puts")))
      puts.put(put.get("index").getAsLong(), put.get("put_ns").getAsLong());
    List<JsonObject> told = lines(report);
    JsonObject summary = told.get(told.size() - 1);
    assertEquals(NODES, summary.get("with_list").getAsInt());
    assertEquals(NODES * ENTRIES, summary.get("entries").getAsInt());
    long newest = summary.get("newest_index").getAsLong();
    assertTrue(newest > 20 && puts.containsKey(newest),
        "index " + newest + " of " + puts.size() + " changes");
    for (int node = 0; node < NODES; node++)
      checkApplied(told, NodeConfig.name(node), puts, newest);
  }

  /**
   * Each change from the first list on, once and in order, and none before the source had put it.
   */
  private static void checkApplied(List<JsonObject> told, String node, Map<Long, Long> puts,
      long newest) {
    List<Long> indexes = new ArrayList<>();
    for (JsonObject line : told) {
      if (!line.has("node") || !line.get("node").getAsString().equals(node)) continue;
      long index = line.get("index").getAsLong();
      if (index == 0) continue; // the empty list that it starts with
      indexes.add(index);
      long after = line.get("at_nanos").getAsLong() - puts.getOrDefault(index, Long.MIN_VALUE / 2);
      assertTrue(after > 0, node + " has " + index + " before it was put");
    }
    assertTrue(newest - indexes.get(indexes.size() - 1) <= 1,
        node + " ends at " + indexes + ", newest " + newest);
    for (int i = 1; i < indexes.size(); i++)
      assertEquals(indexes.get(i - 1) + 1, indexes.get(i), node);
  }

  private static List<JsonObject> lines(Path file) throws Exception {
    List<JsonObject> all = new ArrayList<>();
    for (String line : Files.readAllLines(file))
      all.add(JsonParser.parseString(line).getAsJsonObject());
    return all;
  }
}
