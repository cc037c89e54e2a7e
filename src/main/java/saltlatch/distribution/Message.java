package saltlatch.distribution;

import java.util.List;

/**
 * What a watcher is sent. Watchers at the same position get the very same instance, so that a host
 * encodes each message once and shares the buffer; instances are compared by identity.
 */
public final class Message {
  /** What a message is for; costs are counted by kind. */
  public enum Kind {
    /** The whole list. */
    SNAPSHOT,
    /** What changed since the watcher's position, the latest state of each name. */
    CHANGES,
    /** Nothing changed: an empty line, so that the watcher knows that the watch is alive. */
    KEEP_ALIVE
  }

  private final Kind kind;
  private final Version version;
  private final List<Entry> entries;

  /** A message; {@code version} is where its receiver stands behind it. */
  public Message(Kind kind, Version version, List<Entry> entries) {
    this.kind = kind;
    this.version = version;
    this.entries = entries;
  }

  /** What it is for. */
  public Kind kind() {
    return kind;
  }

  /**
   * Where its receiver stands once it has applied this; {@link Version#NONE} for a keep-alive,
   * which moves nobody.
   */
  public Version version() {
    return version;
  }

  /** The entries sent, empty for a keep-alive. */
  public List<Entry> entries() {
    return entries;
  }
}
