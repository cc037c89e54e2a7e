package saltlatch.distribution;

/**
 * A relay's state as shown to operators. Counts of messages, watchers and failures are totals since
 * the start unless stated otherwise.
 *
 * @param version           the version of the list served
 * @param entries           current number of entries of the list
 * @param upstream          index of the upstream followed, or -1 if none is
 * @param staleMs           ms since the upstream last confirmed that the list is up to date; 0 if
 *     that is within the silence timeout, -1 if no list was ever received
 * @param watchers          current number of open watches
 * @param behind            current number of watches that do not have the latest version
 * @param waiting           current number of watches that wait for a snapshot
 * @param changesSent       messages sent that contain changes
 * @param coalescedSent     messages with changes that cover several versions
 * @param snapshotsSent     snapshots sent
 * @param refused           watchers refused because the limit was reached
 * @param stalled           watchers closed because they did not read a message in time
 * @param upstreamFailures  failed watches at upstreams
 * @param upstreamMalformed watches at upstreams that failed because of unusable data
 * @param olderPassedOver   lines ignored because their version or series was older
 * @param logChanges        current number of changed entries kept for watchers that resume
 */
public record RelayStatus(Version version, int entries, int upstream, long staleMs, int watchers,
    int behind, int waiting, long changesSent, long coalescedSent, long snapshotsSent, long refused,
    long stalled, long upstreamFailures, long upstreamMalformed, long olderPassedOver,
    int logChanges) {}
