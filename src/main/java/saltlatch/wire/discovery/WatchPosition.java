package saltlatch.wire.discovery;

/**
 * Tracks how far the list has been received: which events are accepted, and after which index the
 * next watch resumes. Owned by the {@link DiscoveryClient}.
 */
final class WatchPosition {
  private static final String PATH = "/api/targets?follow=1&since=";
  private static final String SERIES_PARAMETER = "&series=";

  /** How to handle an event. */
  enum Verdict {
    ACCEPT,
    /** The event is older than one that has been accepted. */
    STALE,
    /** The event is a change of a series of which no snapshot has been accepted. */
    UNKNOWN_SERIES
  }

  private long series; // of the newest accepted event
  private long newestIndex; // of that event, which may not have been applied yet
  private long appliedIndex; // of the newest event applied in full; the next watch resumes there
  private boolean needsSnapshot; // a change of an unknown series has been received

  WatchPosition(EndpointList initial) {
    series = initial.series();
    newestIndex = initial.index();
    appliedIndex = initial.index();
  }

  /** Returns the path and query of the next watch's request. */
  String requestPath() {
    String path = PATH + (needsSnapshot ? 0 : appliedIndex);
    return series > 0 ? path + SERIES_PARAMETER + series : path;
  }

  /**
   * Decides how to handle an event, and advances to it if it is accepted. Guards against an agent
   * whose list is older than that of the previous agent, for example after SIGHUP or a return to an
   * earlier agent: its list would set draining app servers back to ready.
   */
  Verdict advanceTo(EndpointList list) {
    if (list.series() < series || (list.series() == series && list.index() < newestIndex))
      return Verdict.STALE;
    if (list.series() > series && !list.snapshot()) {
      needsSnapshot = true;
      return Verdict.UNKNOWN_SERIES;
    }
    needsSnapshot = needsSnapshot && !list.snapshot();
    series = list.series();
    newestIndex = list.index();
    return Verdict.ACCEPT;
  }

  void applied(EndpointList list) {
    appliedIndex = list.index();
  }
}
