package saltlatch.state;

import java.util.EnumMap;
import java.util.Map;

/**
 * The node's metrics since its start, returned by the command INFO. Only the node's event loop
 * updates them; other threads that read them may get values that are not up to date.
 */
public final class NodeMetrics {
  /** A metric and its name in INFO. INFO lists the metrics in the order of the constants. */
  public enum Metric {
    CLIENT_CONNECTIONS_ACCEPTED("clients_accepted"),
    CLIENT_CONNECTIONS_OVER_LIMIT("clients_over_limit"),
    CLIENT_CONNECTIONS_BROKEN("clients_broken"),
    CLIENT_DISCONNECTS("clients_left"),
    CLIENT_CONNECTIONS_SILENT("clients_mute"),
    CLIENT_CONNECTIONS_NOT_READING("clients_not_reading"),
    CLIENT_CONNECTIONS_CLOSED("clients_closed"),
    CLIENT_CONNECTIONS_RESET("clients_reset"),
    COMMANDS_UNKNOWN("commands_unknown"),
    COMMANDS_MALFORMED("commands_malformed"),
    COMMANDS_LOST_FRAMING("commands_lost_framing"),
    COMMANDS_OVER_MEMORY_LIMIT("commands_over_limit"),
    REQUESTS("reqs"),
    REQUESTS_INVALID("reqs_unknown"),
    REQUESTS_OVER_MEMORY_LIMIT("reqs_over_limit"),
    RESPONSES_SUCCEEDED("answered_passed"),
    RESPONSES_REJECTED("answered_denied"),
    RESPONSES_FAILED("answered_aborted"),
    REPLIES_OVER_MEMORY_LIMIT("answers_over_limit"),
    SERVER_CONNECTIONS_OPENED("connections_opened"),
    SERVER_CONNECTIONS_BROKEN("connections_broken"),
    SERVER_REPLIES_OVER_MEMORY_LIMIT("server_answers_over_limit"),
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

  /** Creates metrics that are all zero. */
  public NodeMetrics() {
    for (Metric metric : Metric.values()) {
      counts.put(metric, new Count());
    }
  }

  /** Increments a metric by 1; called on the event loop. */
  public void add(Metric metric) {
    add(metric, 1);
  }

  /** Increments a metric by an amount; called on the event loop. */
  public void add(Metric metric, long amount) {
    counts.get(metric).value += amount;
  }

  /** Returns a {@code name=value} line for each metric in the order of INFO, including zeros. */
  public String infoText() {
    StringBuilder text = new StringBuilder();
    counts.forEach((metric, count) -> text.append(metric.infoName).append('=').append(count.value)
        .append('\n'));
    return text.toString();
  }
}
