package saltlatch.api;

import java.util.List;

/**
 * The decisions of one gateway node: takes events and emits actions through its
 * {@link GatewayActions}. Does no I/O, reads no clock and starts no thread. One thread calls it.
 * Times are in {@linkplain Ticks ticks}.
 */
public interface GatewayPolicy {
  /**
   * Takes in the events of one instant and emits what follows from them before it returns.
   *
   * @param nowTicks the common clock
   * @param events   in order of arrival
   */
  void handle(long nowTicks, List<GatewayEvent> events);

  /**
   * Whether an attempt may still begin. A host asks in the instant of writing it, where its
   * connection came up only after the attempt was wanted, and has handed over all earlier events.
   *
   * @param attempt the attempt's number, from 0
   */
  default boolean mayStartAttempt(long nowTicks, long requestId, int attempt) {
    return true;
  }

  /**
   * A timer overdue by more than this shows that the host was stalled: what it reads then may have
   * lain unread, and the host says for how long ({@link GatewayEvent.RequestArrived#ageTicks}).
   */
  default long stallThresholdTicks() {
    return Long.MAX_VALUE;
  }

  /**
   * How long a peer's last gossip counts; after a partition nodes may take each other for reachable
   * for so long.
   */
  default long gossipValidityTicks() {
    return 0;
  }

  /** Makes instances; {@code PolicyEngine::new} is one. */
  interface Factory {
    /**
     * An instance that has seen no event. The host's first batch brings the endpoint list, of kind
     * {@link GatewayEvent.EndpointUpdateKind#CACHED_SNAPSHOT}.
     */
    GatewayPolicy create(long nowTicks, GatewaySettings settings, GatewayActions actions);
  }
}
