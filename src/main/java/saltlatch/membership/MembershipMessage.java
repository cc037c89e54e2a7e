package saltlatch.membership;

import java.util.List;

/**
 * A datagram between two members, with piggybacked updates about members.
 *
 * @param sequenceNumber     number of the probe, which its answers repeat
 * @param target             the member that is probed
 * @param incarnation        the sender's incarnation
 * @param digest             digest of the sender's view ({@link Membership#digest}), by which the
 *                           receiver detects that the two views differ
 * @param grantsLeaseToReceiver whether the sender grants a lease to the receiver, that is, has not
 *                           considered it failed or left within a lease
 * @param updates            at most {@link #MAX_UPDATES} updates
 */
public record MembershipMessage(Kind kind, int sequenceNumber, int target, long incarnation,
    long digest, boolean grantsLeaseToReceiver, List<MemberUpdate> updates) {
  /** Number of updates that fit into a datagram of 256 bytes. */
  public static final int MAX_UPDATES = 24;

  /** The kind of a message. Codecs write its {@link #code}. */
  public enum Kind {
    /** A direct probe. */
    PING(0),
    /** Acknowledges a probe; sent by its target, or by the proxy that probed the target. */
    ACK(1),
    /** Requests an indirect probe: the receiver probes the target on behalf of the sender. */
    PING_REQUEST(2),
    /** Reports that the proxy has not received an ack from the target. */
    NACK(3);

    private final int code;

    Kind(int code) {
      this.code = code;
    }

    /** Returns the number that encodes this constant in datagrams and digests. */
    public int code() {
      return code;
    }

    /** Returns the constant that a number encodes, or null if there is none. */
    public static Kind ofCode(int code) {
      for (Kind each : values()) {
        if (each.code == code) {
          return each;
        }
      }
      return null;
    }
  }

  /** A member's state. Within an incarnation a later constant overrides an earlier one. */
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

    /** Returns the number that encodes this constant in datagrams and digests. */
    public int code() {
      return code;
    }

    /** Returns the constant that a number encodes, or null if there is none. */
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
   * @param reporter the member that raised the suspicion; for other states the member itself
   */
  public record MemberUpdate(int member, State state, long incarnation, int reporter) {}
}
