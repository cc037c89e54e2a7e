package saltlatch.api;

import java.util.List;

/** What an instance is told. Times are tenths of a ms. */
public sealed interface Event {
  enum ListKind {
    CHANGES,
    WHOLE,
    CACHED,
    FAILED
  }

  enum Condition {
    DRAINING,
    GONE,
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

    /** The app srv cannot have run it. */
    public boolean neverRan() {
      return this == FULL || this == NOT_CONNECTED || this == NOT_SENT || this == WITHDRAWN;
    }
  }

  record Entry(long srv, long since, int zone, int cell, Condition condition, double rating, int type) {}

  record Listed(ListKind kind, List<Entry> entries) implements Event {}

  /**
   * A req: its client waits {@code left} from when it sent it; the customer uses {@code width} nodes from {@code first}
   * on; {@code age}: known to have lain unread for so long while this node was away.
   */
  record Arrived(long rid, int frontend, int plan, long customer, long left, double units, int width,
      int first, boolean repeat, long age) implements Event {}

  /** The answer has begun to stream; the client timeout no longer runs. */
  record Begun(long rid, long srv, int dispatch, long spent) implements Event {}

  /** A dispatch ended; {@code over}: the req is over too; {@code actual}: true units, 0 if untold. */
  record Ended(long rid, long srv, int dispatch, Outcome how, boolean over, long spent, double actual,
      double fleetUse, List<Double> load) implements Event {}

  record ClientLeft(long rid) implements Event {}

  record Due(long handle) implements Event {}

  record Probed(long srv, Outcome how, long spent, List<Double> load) implements Event {}

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

  record Counted(long name, Outcome how, double total, long spent) implements Event {}
}
