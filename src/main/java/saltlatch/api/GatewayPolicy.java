package saltlatch.api;

import java.util.List;

/**
 * Makes the decisions of one gateway node: it receives events and emits actions through its
 * {@link GatewayActions}. It does no I/O, reads no clock and starts no thread; its host calls it on
 * one thread only. Times are in {@linkplain Ticks ticks}.
 */
public interface GatewayPolicy {
  /**
   * Handles the events of one instant and emits the resulting actions before it returns.
   *
   * @param nowTicks the time of the clock that all events share
   * @param events   in order of arrival
   */
  void handle(long nowTicks, List<GatewayEvent> events);

  /**
   * Returns whether an attempt may still begin. If the connection of an attempt opens only after
   * {@link GatewayActions#startAttempt}, the host calls this method immediately before it writes
   * the attempt, and after it has passed on all earlier events.
   *
   * @param attempt the attempt's number, from 0
   */
  default boolean mayStartAttempt(long nowTicks, long requestId, int attempt) {
    return true;
  }

  /**
   * Returns the delay of a timer above which the host is considered to have been stalled. Requests
   * that the host reads after a stall may have waited unread, and the host reports for how long
   * ({@link GatewayEvent.RequestArrived#ageTicks}).
   */
  default long stallThresholdTicks() {
    return Long.MAX_VALUE;
  }

  /**
   * Returns how long a peer's last gossip counts as current. After a partition, nodes may treat
   * each other as reachable for this long.
   */
  default long gossipValidityTicks() {
    return 0;
  }

  /** Creates policies, for example {@code PolicyEngine::new}. */
  interface Factory {
    /**
     * Creates a policy that has handled no event. The host's first batch of events must contain the
     * endpoint list, of kind {@link GatewayEvent.EndpointUpdateKind#CACHED_SNAPSHOT}.
     */
    GatewayPolicy create(long nowTicks, GatewaySettings settings, GatewayActions actions);
  }
}
