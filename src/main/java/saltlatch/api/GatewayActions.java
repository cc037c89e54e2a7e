package saltlatch.api;

/** What an instance can do. Times are tenths of a ms. */
public interface GatewayActions {
  void startAttempt(long requestId, long serverId, long timeoutTicks);

  /** Final: a further try is harmless, best after {@code pause} (0: no advice). */
  void reject(long requestId, long retryAfterTicks);

  /** Final: promises nothing. */
  void fail(long requestId);

  void cancelAttempt(long requestId, int attempt);

  void setTimer(long atTicks, long timerId);

  void checkHealth(long serverId);

  void closeIdleConnections(long serverId);

  /**
   * Adds to a named count that is forgotten {@code keep} after its first call; without an answer it
   * ends after {@code cap}, or the time in the settings where that is longer. The simulator knows
   * that time alone.
   */
  void addToCounter(long counterName, double units, long ttlTicks, long timeoutTicks);

  void watchEndpoints(boolean on);

  void sendGossip(int peer, GossipMessage message);

  void log(String text);
}
