package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltlatch.history.HistoryWriter;
import saltlatch.membership.FleetView;
import saltlatch.membership.MembershipMessage;
import saltlatch.node.NodeHistory.QuotaShareValues;
import saltlatch.node.NodeHistory.QuotaShareLevel;

/**
 * Checks the history lines that HistoryLinesTest does not produce on sockets: each kind, key and
 * word as the laboratory's checks read it.
 */
class NodeHistoryFileTest {
  @TempDir private Path directory;

  private List<String> recordedLines(Consumer<NodeHistory> recording) throws IOException {
    try (HistoryWriter history = new HistoryWriter(directory, "n0", "1")) {
      recording.accept(new NodeHistoryFile(history));
    }
    return Files.readAllLines(directory.resolve("n0.jsonl")).stream()
        .map(line -> line.replaceAll(".*\"mono_ns\":\"?\\d+\"?}", "")).toList();
  }

  @Test
  void writesProcessAndStallLines() throws IOException {
    assertEquals(
        List.of(",{\"nodes\":\"3\"}],\"message\":\"started\"}", "],\"message\":\"ready\"}",
            "],\"message\":\"reloaded\"}", ",{\"for_ms\":\"70\"}],\"message\":\"away\"}",
            "],\"message\":\"stops\"}", ",{\"figures\":\"reqs=1 held=0\"}],\"message\":\"ends\"}"),
        recordedLines(history -> {
          history.started(3);
          history.ready();
          history.reloaded();
          history.stalled(70);
          history.stopping();
          history.stopped("reqs=1 held=0");
        }));
  }

  @Test
  void writesEachMemberState() throws IOException {
    List<String> lines = recordedLines(history -> {
      for (MembershipMessage.State state : MembershipMessage.State.values()) {
        history.memberChanged(2, state, 7, 9);
      }
    });
    List<String> words = List.of("unknown", "alive", "suspect", "failed", "left");
    assertEquals(
        words.stream()
            .map(word -> ",{\"member\":\"n2\"},{\"state\":\"" + word
                + "\"},{\"incarnation\":\"7\"},{\"view\":\"9\"}],\"message\":\"member\"}")
            .toList(),
        lines);
  }

  @Test
  void writesEachFleetView() throws IOException {
    List<String> lines = recordedLines(history -> {
      for (FleetView view : FleetView.values()) history.fleetViewChanged(view, 2, 9);
    });
    List<String> words = List.of("whole", "majority", "minority", "alone");
    assertEquals(
        words.stream()
            .map(word -> ",{\"is\":\"" + word
                + "\"},{\"live\":\"2\"},{\"view\":\"9\"}],\"message\":\"standing\"}")
            .toList(),
        lines);
  }

  @Test
  void writesEachQuotaShareLevel() throws IOException {
    List<String> lines = recordedLines(history -> {
      for (QuotaShareLevel level : QuotaShareLevel.values()) {
        history.quotaShareChanged(level, new QuotaShareValues(0.125, 0.5, 0.25, 30, 40));
      }
    });
    List<String> words = List.of("floor", "whole", "more");
    assertEquals(
        words.stream()
            .map(word -> ",{\"is\":\"" + word
                + "\"},{\"part\":\"0.125\"},{\"whole\":\"0.5\"},{\"floor\":\"0.25\"}"
                + ",{\"holds_ms\":\"30\"},{\"takes_ms\":\"40\"}],\"message\":\"share\"}")
            .toList(),
        lines);
  }
}
