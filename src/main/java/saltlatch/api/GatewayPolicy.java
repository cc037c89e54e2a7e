package saltlatch.api;

import java.util.List;

/**
 * One instance of the decision module: it is handed what happened and emits through its
 * {@link GatewayActions}.
 */
public interface GatewayPolicy {
  /**
   * Events of one instant, in order of arrival; {@code now} is the common clock in tenths of a ms.
   */
  void handle(long nowTicks, List<GatewayEvent> events);

  /**
   * Whether a dispatch may still begin. Asked in the instant of its writing where its connection
   * came up only after it was wanted, once all that has happened meanwhile is told.
   */
  default boolean mayStartAttempt(long nowTicks, long requestId, int attempt) {
    return true;
  }

  /**
   * Overdue by more than this, the host has not run: what it reads then may have lain unread, and
   * its age is told.
   */
  default long stallThresholdTicks() {
    return Long.MAX_VALUE;
  }

  /**
   * For how long what a peer told last is gone by; after a cut nodes may believe in each other for
   * so long.
   */
  default long gossipValidityTicks() {
    return 0;
  }

  /** Starts an instance; a list event of kind CACHED follows in the first batch. */
  interface Factory {
    GatewayPolicy create(long nowTicks, GatewaySettings settings, GatewayActions actions);
  }
}
