package saltlatch.distribution;

/**
 * Bounds of one relay, from its configuration.
 *
 * @param watchers                   watchers held at once, relays of the next tier included
 * @param entries                    entries that the list may have
 * @param logChanges                 changed entries kept for watchers that resume; beyond it they
 *     get a snapshot
 * @param snapshotBytesPerSecond     budget of bytes a second for whole lists, over all watchers
 */
public record RelayLimits(int watchers, int entries, int logChanges, long snapshotBytesPerSecond) {
  /** All are at least 1. */
  public RelayLimits {
    if (watchers < 1 || entries < 1 || logChanges < 1 || snapshotBytesPerSecond < 1) {
      throw new IllegalArgumentException("limits below 1");
    }
  }
}
