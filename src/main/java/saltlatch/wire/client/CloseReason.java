package saltlatch.wire.client;

import java.util.Locale;

/** Why this node closes a client's connection. */
enum CloseReason {
  /** The node shuts down and closes connections while no reply is owed on them. */
  DRAINING,
  /** The node is about to terminate, and waits for no further commands. */
  SHUTDOWN,
  /** The node terminates, though the connection could not be closed in order. */
  TERMINATION,
  /** No command has come on the connection for too long. */
  UNUSED,
  /** Part of a command has come, and the rest has not for too long. */
  INCOMPLETE_COMMAND,
  /** What came is no command, and nothing behind it can be told apart. */
  LOST_FRAMING,
  /** A new connection takes its place. */
  REPLACED,
  /** All connections are in use; this one has just been accepted. */
  OVER_LIMIT,
  /** The client reads none of its replies, whose memory others need. */
  NOT_READING;

  /** Returns whether the connection is closed although its client may be owed replies. */
  boolean isForced() {
    return this == NOT_READING || this == TERMINATION;
  }

  /** Returns whether the client has been sent an error as its last reply. */
  boolean followsError() {
    return this == LOST_FRAMING || this == INCOMPLETE_COMMAND;
  }

  /** Returns the name in log lines. */
  String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
