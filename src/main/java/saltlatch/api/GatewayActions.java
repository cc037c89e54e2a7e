package saltlatch.api;

/**
 * What a {@link GatewayPolicy} makes its host do. The policy calls these methods while it handles
 * events, on the host's thread; the host must not hand over events from within them. Each outcome
 * comes back as a {@link GatewayEvent}. Times are in {@linkplain Ticks ticks}.
 */
public interface GatewayActions {
  /**
   * Sends a request to an app server. Its attempts are numbered from 0 in the order of these calls;
   * a {@link GatewayEvent.AttemptEnded} follows for each.
   *
   * @param timeoutTicks how long the attempt is waited for
   */
  void startAttempt(long requestId, long serverId, long timeoutTicks);

  /**
   * Final answer: a retry of the client is harmless.
   *
   * @param retryAfterTicks when the client should come back, 0 for no advice
   */
  void reject(long requestId, long retryAfterTicks);

  /** Final answer: the request may have been executed. */
  void fail(long requestId);

  /** Gives up an attempt in flight; its {@link GatewayEvent.AttemptEnded} follows all the same. */
  void cancelAttempt(long requestId, int attempt);

  /**
   * Asks for a {@link GatewayEvent.TimerFired} with this id.
   *
   * @param atTicks a point in time; at once if it is past
   */
  void setTimer(long atTicks, long timerId);

  /**
   * Probes an app server; a {@link GatewayEvent.HealthChecked} follows. Part of the hosts'
   * protocol; saltlatch.policy learns from attempts and doesn't use it.
   */
  void checkHealth(long serverId);

  /** Closes connections to an app server that carry no attempt; not used by saltlatch.policy. */
  void closeIdleConnections(long serverId);

  /**
   * Adds to a named count of the counter; a {@link GatewayEvent.CounterReplied} follows.
   *
   * @param units        what is added, below 0 to give back, 0 to read the total
   * @param ttlTicks     how long after its first call the counter forgets the count
   * @param timeoutTicks how long the reply is waited for, or the time in the settings where that is
   *     longer; the simulator knows only that
   */
  void addToCounter(long counterName, double units, long ttlTicks, long timeoutTicks);

  /** Opens or closes the watch of the endpoint list, where that is left to the policy. */
  void watchEndpoints(boolean on);

  /**
   * Sends a datagram to a peer; it may be lost, and nothing comes back.
   *
   * @param peer the node's number in the fleet
   */
  void sendGossip(int peer, GossipMessage message);

  /** Writes a line to the node's log. */
  void log(String text);
}
