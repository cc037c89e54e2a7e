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
 * Checks that each hollow node of a process applies all changes of a source process in order, up to
 * the newest.
 */
class HollowIT {
  private static final Path JAR = Path.of("target/saltlatch.jar");
  private static final int NODES = 3;
  private static final int ENTRIES = 500;

  @TempDir Path dir;

  @Test
  void hollowNodesApplyEachChangeOfTheSource() throws Exception {
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
        assertEquals(0, hollow.waitFor(), () -> "hollow nodes failed; see the logs in " + dir);
      }
    }
    Map<Long, Long> puts = new HashMap<>();
    for (JsonObject put : lines(dir.resolve("puts")))
      puts.put(put.get("index").getAsLong(), put.get("put_ns").getAsLong());
    List<JsonObject> reported = lines(report);
    JsonObject summary = reported.get(reported.size() - 1);
    assertEquals(NODES, summary.get("with_list").getAsInt());
    assertEquals(NODES * ENTRIES, summary.get("entries").getAsInt());
    long newest = summary.get("newest_index").getAsLong();
    assertTrue(newest > 20 && puts.containsKey(newest),
        "expected a newest index above 20 that the source recorded, found " + newest + " with "
            + puts.size() + " recorded changes");
    for (int node = 0; node < NODES; node++)
      assertAppliedInOrder(reported, NodeConfig.name(node), puts, newest);
  }

  /**
   * Checks that a node applied each change after its first list once and in order, and none before
   * the source made it.
   */
  private static void assertAppliedInOrder(List<JsonObject> reported, String node,
      Map<Long, Long> puts, long newest) {
    List<Long> indexes = new ArrayList<>();
    for (JsonObject line : reported) {
      if (!line.has("node") || !line.get("node").getAsString().equals(node)) continue;
      long index = line.get("index").getAsLong();
      if (index == 0) continue; // the empty list that the node starts with
      indexes.add(index);
      long delayNanos = line.get("at_nanos").getAsLong()
          - puts.getOrDefault(index, Long.MIN_VALUE / 2);
      assertTrue(delayNanos > 0,
          node + " applied index " + index + " before the source changed to it");
    }
    assertTrue(newest - indexes.get(indexes.size() - 1) <= 1,
        node + " applied " + indexes + ", expected the last at most 1 below " + newest);
    for (int i = 1; i < indexes.size(); i++)
      assertEquals(indexes.get(i - 1) + 1, indexes.get(i), node);
  }

  private static List<JsonObject> lines(Path file) throws Exception {
    List<JsonObject> parsed = new ArrayList<>();
    for (String line : Files.readAllLines(file))
      parsed.add(JsonParser.parseString(line).getAsJsonObject());
    return parsed;
  }
}
