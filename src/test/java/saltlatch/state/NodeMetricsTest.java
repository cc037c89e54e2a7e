package saltlatch.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a change of the metric names in the reply to INFO when a constant of
 * {@link NodeMetrics.Metric} is renamed. Dashboards and the benchmark read these names.
 */
class NodeMetricsTest {
  private static final List<String> INFO_NAMES = List.of("clients_accepted", "clients_over_limit",
      "clients_broken", "clients_left", "clients_mute", "clients_not_reading", "clients_closed",
      "clients_reset", "commands_unknown", "commands_malformed", "commands_lost_framing",
      "commands_over_limit", "reqs", "reqs_unknown", "reqs_over_limit", "answered_passed",
      "answered_denied", "answered_aborted", "answers_over_limit", "connections_opened",
      "connections_broken", "server_answers_over_limit", "dispatched", "dispatches_passed",
      "dispatches_ended_otherwise", "probed", "counted", "counts_answered",
      "counts_ended_otherwise", "counter_opened", "counter_broken", "watches", "watches_broken",
      "lists", "lists_malformed", "lists_old", "lists_refused", "peers_told", "peers_heard",
      "peers_failed", "reloads", "reloads_failed", "away", "away_ms", "read_late", "exceptions");

  @Test
  void infoListsMetricNamesInOrder() {
    List<String> names = new NodeMetrics().infoText().lines().map(line -> line.split("=", 0)[0])
        .toList();
    assertEquals(INFO_NAMES, names);
  }

  @Test
  void eachMetricHasItsOwnInfoLine() {
    NodeMetrics metrics = new NodeMetrics();
    NodeMetrics.Metric[] all = NodeMetrics.Metric.values();
    for (int i = 0; i < all.length; i++) metrics.add(all[i], 100 + i);
    metrics.add(all[0]);
    StringBuilder expected = new StringBuilder();
    for (int i = 0; i < all.length; i++) {
      expected.append(INFO_NAMES.get(i)).append('=').append(i == 0 ? 101 : 100 + i).append('\n');
    }
    assertEquals(expected.toString(), metrics.infoText());
    assertEquals(INFO_NAMES.size(), Arrays.stream(all).distinct().count());
  }
}
