package saltlatch.wire.client;

import java.util.Locale;

/**
 * Whether and how this side closes a client's connection. Each close is decided here, right after
 * the connection's input was read, so that a request gets either its whole answer or a reset: what
 * has arrived by then is answered first, and what arrives later meets a closed connection, which
 * the operating system resets.
 *
 * <p>The output never ends before the input. Guards against a client that sees an end without an
 * answer, and the reset too late or never, while this side waits. Nor is the connection closed
 * before the client's system has confirmed all replies. Guards against a reset that overtakes them.
 */
enum CloseDecision {
  /** Commands have arrived, or replies are owed or on their way; the connection stays open. */
  KEEP,
  /** Closes at once: an orderly end, and a reset if something arrives or is unread. */
  CLOSE,
  /** Closes at once with a reset, since something that was read stays without an answer. */
  RESET;

  /** How far the replies that were written have come. */
  enum Delivery {
    /** The operating system has not taken all of them. */
    WRITING,
    /** The operating system has taken them; the client's system has not confirmed all of them. */
    ON_THEIR_WAY,
    /** The client's system has them. */
    DELIVERED
  }

  /**
   * What is known of a connection.
   *
   * @param owedReplies   commands whose replies are not written yet
   * @param commandsWait  complete commands may wait to be processed
   * @param partOfCommand part of a command was read
   * @param inputDropped  bytes were read behind the end of what can be answered
   * @param delivery      of the replies that are written
   * @param clientReads   the client reads its replies
   * @param clientEnded   the client has closed its side
   */
  record State(int owedReplies, boolean commandsWait, boolean partOfCommand, boolean inputDropped,
      Delivery delivery, boolean clientReads, boolean clientEnded) {
    private boolean isAnswered() {
      return owedReplies == 0 && !commandsWait;
    }

    /** Returns the name in log lines. */
    String logName() {
      if (clientEnded) return "client_ended";
      if (!clientReads) return "not_reading";
      if (owedReplies > 0) return "answering";
      if (commandsWait) return "commands_waiting";
      if (partOfCommand) return "part_of_command";
      return delivery == Delivery.DELIVERED ? "idle" : "replies_on_their_way";
    }
  }

  /** Returns the name in log lines. */
  String logName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the decision on closing a connection in this state for this reason. */
  static CloseDecision of(CloseReason reason, State state) {
    if (state.clientEnded()) return CLOSE;
    if (reason.isForced()) return ofForcedClose(state);
    if (!state.isAnswered()) return KEEP;
    if (state.delivery() != Delivery.DELIVERED)
      return reason == CloseReason.REPLACED && !state.clientReads() ? RESET : KEEP;
    if (state.inputDropped()) return RESET;
    if (!state.partOfCommand() || reason.followsError()) return CLOSE;
    return reason == CloseReason.DRAINING ? KEEP : RESET;
  }

  private static CloseDecision ofForcedClose(State state) {
    boolean losesNothing = state.isAnswered() && state.delivery() != Delivery.WRITING
        && !state.partOfCommand();
    return losesNothing ? CLOSE : RESET;
  }
}
