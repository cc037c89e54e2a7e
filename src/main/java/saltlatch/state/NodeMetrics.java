package saltlatch.state;

import java.util.Locale;

/** What the node has taken in, sent and answered since its start. */
public final class NodeMetrics {
  /** One thing that is counted. */
  public enum Metric {
    CLIENTS_ACCEPTED,
    CLIENTS_OVER_LIMIT,
    CLIENTS_BROKEN,
    CLIENTS_LEFT,
    CLIENTS_MUTE,
    COMMANDS_UNKNOWN,
    COMMANDS_MALFORMED,
    COMMANDS_LOST_FRAMING,
    REQS,
    REQS_UNKNOWN,
    REQS_OVER_LIMIT,
    ANSWERED_PASSED,
    ANSWERED_DENIED,
    ANSWERED_ABORTED,
    CONNECTIONS_OPENED,
    CONNECTIONS_BROKEN,
    DISPATCHED,
    DISPATCHES_PASSED,
    DISPATCHES_ENDED_OTHERWISE,
    PROBED,
    COUNTED,
    COUNTS_ANSWERED,
    COUNTS_ENDED_OTHERWISE,
    COUNTER_OPENED,
    COUNTER_BROKEN,
    WATCHES,
    WATCHES_BROKEN,
    LISTS,
    LISTS_MALFORMED,
    LISTS_OLD,
    LISTS_REFUSED,
    PEERS_TOLD,
    PEERS_HEARD,
    PEERS_FAILED,
    RELOADS,
    RELOADS_FAILED,
    AWAY,
    AWAY_MS,
    READ_LATE,
    EXCEPTIONS
  }

  private final long[] all = new long[Metric.values().length];

  public void add(Metric what) {
    add(what, 1);
  }

  public void add(Metric what, long n) {
    all[what.ordinal()] += n;
  }

  /** A line each, those at nought too. */
  public String text() {
    StringBuilder out = new StringBuilder();
    for (Metric c : Metric.values()) {
      out.append(c.name().toLowerCase(Locale.ROOT)).append('=').append(all[c.ordinal()])
          .append('\n');
    }
    return out.toString();
  }
}
