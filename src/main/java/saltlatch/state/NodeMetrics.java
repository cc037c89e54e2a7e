package saltlatch.state;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts what the node has received, sent and answered since its start, for the command INFO. Owned
 * by the node's event loop, which alone adds; other threads may read a text that lags behind.
 */
public final class NodeMetrics {
  /** One thing that is counted, with the name of its line in INFO. The order is INFO's. */
  public enum Metric {
    CLIENT_CONNECTIONS_ACCEPTED("clients_accepted"),
    CLIENT_CONNECTIONS_OVER_LIMIT("clients_over_limit"),
    CLIENT_CONNECTIONS_BROKEN("clients_broken"),
    CLIENT_DISCONNECTS("clients_left"),
    CLIENT_CONNECTIONS_SILENT("clients_mute"),
    COMMANDS_UNKNOWN("commands_unknown"),
    COMMANDS_MALFORMED("commands_malformed"),
    COMMANDS_LOST_FRAMING("commands_lost_framing"),
    REQUESTS("reqs"),
    REQUESTS_INVALID("reqs_unknown"),
    REQUESTS_OVER_MEMORY_LIMIT("reqs_over_limit"),
    RESPONSES_SUCCEEDED("answered_passed"),
    RESPONSES_REJECTED("answered_denied"),
    RESPONSES_FAILED("answered_aborted"),
    SERVER_CONNECTIONS_OPENED("connections_opened"),
    SERVER_CONNECTIONS_BROKEN("connections_broken"),
    ATTEMPTS_STARTED("dispatched"),
    ATTEMPTS_SUCCEEDED("dispatches_passed"),
    ATTEMPTS_FAILED("dispatches_ended_otherwise"),
    HEALTH_CHECKS("probed"),
    COUNTER_CALLS("counted"),
    COUNTER_CALLS_ANSWERED("counts_answered"),
    COUNTER_CALLS_FAILED("counts_ended_otherwise"),
    COUNTER_CONNECTIONS_OPENED("counter_opened"),
    COUNTER_CONNECTIONS_BROKEN("counter_broken"),
    WATCHES_OPENED("watches"),
    WATCHES_BROKEN("watches_broken"),
    ENDPOINT_LISTS("lists"),
    ENDPOINT_LISTS_MALFORMED("lists_malformed"),
    ENDPOINT_LISTS_STALE("lists_old"),
    ENDPOINT_LISTS_TOO_LARGE("lists_refused"),
    DATAGRAMS_SENT("peers_told"),
    DATAGRAMS_RECEIVED("peers_heard"),
    DATAGRAMS_FAILED("peers_failed"),
    RELOADS("reloads"),
    RELOADS_FAILED("reloads_failed"),
    STALLS("away"),
    STALLED_MS("away_ms"),
    REQUESTS_READ_LATE("read_late"),
    EXCEPTIONS("exceptions");

    private final String infoName;

    Metric(String infoName) {
      this.infoName = infoName;
    }
  }

  private static final class Count {
    private long value;
  }

  private final Map<Metric, Count> counts = new EnumMap<>(Metric.class);

  /** All metrics at zero. */
  public NodeMetrics() {
    for (Metric metric : Metric.values()) {
      counts.put(metric, new Count());
    }
  }

  /** Adds one; called on the event loop. */
  public void add(Metric metric) {
    add(metric, 1);
  }

  /** Adds an amount; called on the event loop. */
  public void add(Metric metric, long amount) {
    counts.get(metric).value += amount;
  }

  /** A {@code name=value} line for each metric in the order of INFO, zeros included. */
  public String infoText() {
    StringBuilder text = new StringBuilder();
    counts.forEach((metric, count) -> text.append(metric.infoName).append('=').append(count.value)
        .append('\n'));
    return text.toString();
  }
}
