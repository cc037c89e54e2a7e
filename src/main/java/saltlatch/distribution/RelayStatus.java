package saltlatch.distribution;

/**
 * A relay's state for operators.
 *
 * @param version           the version served
 * @param entries           entries listed
 * @param upstream          the upstream followed, -1 while none is
 * @param staleMs           ms since the upstream last said anything, 0 while it is in time; -1:
 *     nothing was ever received
 * @param watchers          watches open
 * @param behind            of these, those that lack the latest version
 * @param waiting           of these, those that wait for a whole list
 * @param changesSent       messages with changes sent since the start
 * @param coalescedSent     of these, such that cover several versions
 * @param snapshotsSent     whole lists sent
 * @param refused           watchers refused
 * @param stalled           watchers closed since they took nothing
 * @param upstreamFailures  watches at upstreams that failed
 * @param upstreamMalformed of these, by what could not be read
 * @param olderPassedOver   lines of an older version or series that were ignored
 * @param logChanges        changed entries now kept for watchers that resume
 */
public record RelayStatus(Version version, int entries, int upstream, long staleMs, int watchers,
    int behind, int waiting, long changesSent, long coalescedSent, long snapshotsSent, long refused,
    long stalled, long upstreamFailures, long upstreamMalformed, long olderPassedOver,
    int logChanges) {}
