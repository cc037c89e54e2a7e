package saltlatch.membership;

import java.util.List;

/**
 * A datagram between two members, with updates about others piggybacked on it.
 *
 * @param sequenceNumber     of the probe; an answer repeats it
 * @param target             the member that the probe is about
 * @param incarnation        the sender's
 * @param digest             of the sender's whole view ({@link Membership#digest}): two that differ
 *                           notice it
 * @param vouchesForReceiver the sender has not held the receiver failed or left for a lease
 * @param updates            at most {@link #MAX_UPDATES}
 */
public record MembershipMessage(Kind kind, int sequenceNumber, int target, long incarnation,
    long digest, boolean vouchesForReceiver, List<MemberUpdate> updates) {
  /** Updates that a datagram of 256 bytes holds. */
  public static final int MAX_UPDATES = 24;

  /** What a message asks or answers. Codecs write the order of these constants. */
  public enum Kind {
    /** A direct probe. */
    PING,
    /** The answer to a probe, by its target or by the proxy that probed it. */
    ACK,
    /** Asks the receiver to probe the target for the sender: an indirect probe. */
    PING_REQUEST,
    /** The proxy has no answer of the target. */
    NACK
  }

  /**
   * What a member is held to be. A later constant overrides an earlier one of the same incarnation;
   * codecs write their order.
   */
  public enum State {
    UNKNOWN,
    ALIVE,
    SUSPECT,
    FAILED,
    LEFT
  }

  /**
   * A member's state in one of its incarnations.
   *
   * @param reporter of a suspicion: who raised it; else the member itself
   */
  public record MemberUpdate(int member, State state, long incarnation, int reporter) {}
}
