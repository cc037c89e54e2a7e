package saltlatch.policy;

/**
 * One attempt of a request at an app server, from its start to its outcome. {@link AttemptTracker}
 * makes it and alone writes to it, but for {@code cancelled}, which belongs to
 * {@link ActionEmitter}. Times are in ticks.
 */
final class Attempt {
  final ServerState server;
  final long startedAtTicks;
  /** When the app server had last started, as known when the attempt did. */
  final long serverStartedAtTicks;
  /** How long the attempt was thought to take. */
  final double expectedTicks;
  /** The attempt's start, later by the time for which this node was stalled meanwhile. */
  long measuredFromTicks;
  boolean cancelled;
  /** Too long on an outlier: no longer counted as in flight by {@link LoadShedding}. */
  boolean abandoned;

  Attempt(ServerState server, long now, double expectedTicks) {
    this.server = server;
    this.expectedTicks = expectedTicks;
    startedAtTicks = now;
    measuredFromTicks = now;
    serverStartedAtTicks = server.startedAtTicks;
  }
}
