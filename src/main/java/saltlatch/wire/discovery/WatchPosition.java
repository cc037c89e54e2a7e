package saltlatch.wire.discovery;

/**
 * How far the list has been followed: which event is taken next, and from where the next watch goes
 * on. Owned by the {@link DiscoveryClient}.
 */
final class WatchPosition {
  private static final String PATH = "/api/targets?follow=1&since=";
  private static final String SERIES_PARAMETER = "&series=";

  /** What is to be done with an event. */
  enum Verdict {
    TAKE,
    /** It is behind what was taken already. */
    OLD,
    /** It is a change of a series of which no whole list has been taken. */
    UNKNOWN_SERIES
  }

  private long series; // of the newest event taken
  private long newestIndex; // of that event; it may be on its way to being applied
  private long appliedIndex; // of the newest event applied in full: a watch goes on from there
  private boolean needsSnapshot; // a change of an unknown series came

  WatchPosition(EndpointList known) {
    series = known.series();
    newestIndex = known.index();
    appliedIndex = known.index();
  }

  /** Path and query of the next watch's request. */
  String requestPath() {
    String path = PATH + (needsSnapshot ? 0 : appliedIndex);
    return series > 0 ? path + SERIES_PARAMETER + series : path;
  }

  /**
   * Judges an event, and moves on to it where it is to be taken. Guards against an agent that is
   * behind the one asked before, as after SIGHUP or on return to the former one: its list would
   * make app servers ready again that are draining.
   */
  Verdict advanceTo(EndpointList list) {
    if (list.series() < series || list.series() == series && list.index() < newestIndex)
      return Verdict.OLD;
    if (list.series() > series && !list.snapshot()) {
      needsSnapshot = true;
      return Verdict.UNKNOWN_SERIES;
    }
    needsSnapshot = needsSnapshot && !list.snapshot();
    series = list.series();
    newestIndex = list.index();
    return Verdict.TAKE;
  }

  void applied(EndpointList list) {
    appliedIndex = list.index();
  }
}
