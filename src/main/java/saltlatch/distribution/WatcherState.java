package saltlatch.distribution;

/** One watcher: where it stands and what is on the way to it. */
final class WatcherState {
  final long id;
  /** What it holds once the message on the way is applied. */
  Version version;
  /** Whether it holds a list at all. */
  boolean listed;
  /** A message is on the way: nothing more is queued. */
  boolean sending;
  /** Needs a whole list. */
  boolean waiting;
  /** Since when it has waited for a whole list, ms; who never had one waits from the start. */
  long waitingSince;
  /** When the last message was sent, ms. */
  long sentAt;
  /** When its socket last took anything, or was given something to take, ms. */
  long progressedAtMs;

  WatcherState(long id, Version since, long now) {
    this.id = id;
    version = since;
    listed = !since.equals(Version.NONE);
    waitingSince = now;
    progressedAtMs = now;
  }

  /** Whether it lacks something that {@code latest} has. */
  boolean lacks(Version latest) {
    return !listed || version.compareTo(latest) < 0;
  }
}
