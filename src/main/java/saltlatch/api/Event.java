package saltlatch.api;

import java.util.List;

/** What an instance of the decision module is told. Times are tenths of a ms. */
public sealed interface Event {
  /** What a message about the list of app servers is. */
  enum ListKind {
    /** Entries that changed. */
    CHANGES,
    /** The whole list: what it does not name is gone. */
    WHOLE,
    /** The whole list as it was known before the start. */
    CACHED,
    /** No list: the watch ended, or a call for the list failed. */
    FAILED
  }

  /** Whether an app server takes requests. */
  enum Condition {
    /** Finishes what it has and wants nothing new. */
    DRAINING,
    /** Off the list. */
    GONE,
    /** Takes requests. */
    READY
  }

  /** How a dispatch, a probe or a count call ended. */
  enum Outcome {
    PASSED,
    ERROR,
    FULL,
    LATE,
    NOT_CONNECTED,
    BROKEN,
    CANCELLED,
    NOT_SENT,
    WITHDRAWN;

    /** The app server cannot have run it. */
    public boolean neverRan() {
      return this == FULL || this == NOT_CONNECTED || this == NOT_SENT || this == WITHDRAWN;
    }
  }

  /**
   * An app server as the list names it.
   *
   * @param srv    its number within this node
   * @param since  when it last started, 0 for long ago
   * @param zone   its zone's place in the settings
   * @param cell   the group within which idempotency keys are remembered
   * @param rating its capacity relative to others
   * @param type   its machine type's place in the settings
   */
  record Entry(long srv, long since, int zone, int cell, Condition condition, double rating, int type) {}

  /** The list of app servers, or changes of it. */
  record Listed(ListKind kind, List<Entry> entries) implements Event {}

  /**
   * A request: its client waits {@code left} from when it sent it; the customer uses {@code width} nodes from {@code first}
   * on; {@code age}: known to have lain unread for so long while this node was away.
   */
  record Arrived(long rid, int frontend, int plan, long customer, long left, double units, int width,
      int first, boolean repeat, long age) implements Event {}

  /** The answer has begun to stream; the client timeout no longer runs. */
  record Begun(long rid, long srv, int dispatch, long spent) implements Event {}

  /** A dispatch ended; {@code over}: the request is over too; {@code actual}: true units, 0 if untold. */
  record Ended(long rid, long srv, int dispatch, Outcome how, boolean over, long spent, double actual,
      double fleetUse, List<Double> load) implements Event {}

  /** The client closed its connection before its answer. */
  record ClientLeft(long rid) implements Event {}

  /** A timer that the module asked for has fallen due. */
  record Due(long handle) implements Event {}

  /** A probe of an app server ended; {@code load}: its load report, empty if none came. */
  record Probed(long srv, Outcome how, long spent, List<Double> load) implements Event {}

  /** A peer's datagram. */
  record Heard(int from, Told told) implements Event {}

  /** What a member of the fleet is to this node: there, not there (but it may run), or its surplus is this node's side's. */
  enum Life {
    LIVE,
    LOST,
    GONE
  }

  /**
   * What this node knows of the fleet, where nodes know each other. Until {@code holdsUntil} it uses its whole share of
   * quotas, until {@code takesUntil} also what the members that are gone left; {@code counted}: the nodes that what all
   * may do together is divided by.
   */
  record Members(List<Life> lives, long holdsUntil, long takesUntil, int counted) implements Event {}

  /** A call to the counter ended; {@code total}: the count behind it, where it was answered. */
  record Counted(long name, Outcome how, double total, long spent) implements Event {}
}
