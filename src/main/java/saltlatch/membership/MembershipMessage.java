package saltlatch.membership;

import java.util.List;

/**
 * What members say to each other. {@code incarnation} is the sender's; {@code target} the member a
 * probe by proxy is about; {@code vouchesForReceiver}: it has not held the receiver failed or left for a
 * lease; {@code digest} stands for the sender's whole view, so that two that differ notice.
 */
public record MembershipMessage(Kind kind, int sequenceNumber, int target, long incarnation,
    long digest, boolean vouchesForReceiver, List<MemberUpdate> updates) {
  /** What a message asks or answers: a probe, its answer, a probe by proxy, a proxy's failure. */
  public enum Kind {
    PING,
    ACK,
    PING_REQ,
    NACK
  }

  /**
   * What a member is held to be, in the order in which later ones override earlier ones of the same
   * incarnation.
   */
  public enum State {
    UNKNOWN,
    ALIVE,
    SUSPECT,
    FAILED,
    LEFT
  }

  /** A member's state in an incarnation of it; of a suspicion, who raised it. */
  public record MemberUpdate(int member, State state, long incarnation, int reporter) {}
}
