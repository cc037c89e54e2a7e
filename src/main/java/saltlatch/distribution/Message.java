package saltlatch.distribution;

import java.util.List;

/**
 * A message to a watcher. Watchers at the same version are sent the same instance, so that a host
 * encodes each message once and shares the buffer. Instances are compared by identity.
 */
public final class Message {
  /** Purpose of a message; costs are counted by kind. */
  public enum Kind {
    /** The complete list. */
    SNAPSHOT,
    /** The latest state of each name that changed since the watcher's version. */
    CHANGES,
    /** No changes: an empty line that shows the watcher that the connection is alive. */
    KEEP_ALIVE
  }

  private final Kind kind;
  private final Version version;
  private final List<Entry> entries;

  /** Creates a message that brings its receiver to {@code version}. */
  public Message(Kind kind, Version version, List<Entry> entries) {
    this.kind = kind;
    this.version = version;
    this.entries = entries;
  }

  /** Returns the purpose of the message. */
  public Kind kind() {
    return kind;
  }

  /**
   * Returns the receiver's version after it applies the message, or {@link Version#NONE} for a
   * keep-alive, which leaves the receiver's version unchanged.
   */
  public Version version() {
    return version;
  }

  /** Returns the entries of the message; empty for a keep-alive. */
  public List<Entry> entries() {
    return entries;
  }
}
