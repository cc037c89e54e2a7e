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
 * @param grantsLeaseToReceiver the sender has not held the receiver failed or left for a lease
 * @param updates            at most {@link #MAX_UPDATES}
 */
public record MembershipMessage(Kind kind, int sequenceNumber, int target, long incarnation,
    long digest, boolean grantsLeaseToReceiver, List<MemberUpdate> updates) {
  /** Updates that a datagram of 256 bytes holds. */
  public static final int MAX_UPDATES = 24;

  /** What a message asks or answers. Codecs write the order of these constants. */
  public enum Kind {
    /** A direct probe. */
    PING(0),
    /** The answer to a probe, by its target or by the proxy that probed it. */
    ACK(1),
    /** Asks the receiver to probe the target for the sender: an indirect probe. */
    PING_REQUEST(2),
    /** The proxy has no answer of the target. */
    NACK(3);

    private final int code;

    Kind(int code) {
      this.code = code;
    }

    /** The number that stands for it in datagrams and digests. */
    public int code() {
      return code;
    }

    /** Null for a number that stands for none. */
    public static Kind ofCode(int code) {
      for (Kind each : values()) {
        if (each.code == code) {
          return each;
        }
      }
      return null;
    }
  }

  /**
   * What a member is held to be. A later constant overrides an earlier one of the same incarnation.
   */
  public enum State {
    UNKNOWN(0),
    ALIVE(1),
    SUSPECT(2),
    FAILED(3),
    LEFT(4);

    private final int code;

    State(int code) {
      this.code = code;
    }

    /** The number that stands for it in datagrams and digests. */
    public int code() {
      return code;
    }

    /** Null for a number that stands for none. */
    public static State ofCode(int code) {
      for (State each : values()) {
        if (each.code == code) {
          return each;
        }
      }
      return null;
    }
  }

  /**
   * A member's state in one of its incarnations.
   *
   * @param reporter of a suspicion: who raised it; else the member itself
   */
  public record MemberUpdate(int member, State state, long incarnation, int reporter) {}
}
