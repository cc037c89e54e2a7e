package saltlatch.policy;

/**
 * One attempt of a request at an app server, from its start to its outcome. Only
 * {@link AttemptTracker} creates and modifies attempts, except for {@code cancelled}, which
 * {@link ActionEmitter} sets. Times are in ticks.
 */
final class Attempt {
  final ServerState server;
  final long startedAtTicks;
  /** The last start of the app server, as known when the attempt started. */
  final long serverStartedAtTicks;
  /** The expected duration of the attempt. */
  final double expectedTicks;
  /** The attempt's start, moved forward by the time for which this node has been stalled since. */
  long measuredFromTicks;
  boolean cancelled;
  /**
   * The attempt took too long on an outlier; {@link LoadShedding} no longer counts it as in flight.
   */
  boolean abandoned;

  Attempt(ServerState server, long now, double expectedTicks) {
    this.server = server;
    this.expectedTicks = expectedTicks;
    startedAtTicks = now;
    measuredFromTicks = now;
    serverStartedAtTicks = server.startedAtTicks;
  }
}
