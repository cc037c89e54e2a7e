package saltlatch.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The watchers: each is sent what it lacks, one message at a time. Who does not take a message gets
 * nothing more, and once it has taken it the latest state of all that changed meanwhile.
 */
final class WatcherDispatcher {
  /**
   * An idle watcher is sent a keep-alive after so long at the latest; the protocol has 2,000, less
   * what a tick may be late.
   */
  static final long KEEP_ALIVE_MS = 1_900;
  /**
   * Those idle for so long get theirs along with the first that is due, so that one tick does for
   * many.
   */
  static final long KEEP_ALIVE_SOONEST_MS = 1_600;
  /** A watcher that takes nothing of a message for so long is closed, ms. */
  static final long STALLED_MS = 30_000;
  /**
   * Nor does one keep a message for longer than this, ms, however slowly it reads: each whole list
   * on its way is memory.
   */
  static final long TAKEN_WITHIN_MS = 120_000;

  private static final Message KEEP_ALIVE = new Message(Message.Kind.KEEP_ALIVE, Version.NONE,
      List.of());

  private final int most;
  private final Replica replica;
  private final MessageCache messages;
  private final SnapshotAdmission admission;
  private final DistributorActions actions;
  /**
   * Those with nothing on the way, the one least recently sent to first; then those with a message
   * on the way, likewise.
   */
  private final Map<Long, WatcherState> idle = new LinkedHashMap<>();
  private final Map<Long, WatcherState> sending = new LinkedHashMap<>();

  private long changesSent;
  private long coalescedSent;
  private long snapshotsSent;
  private long refused;
  private long stalled;
  private Version before = Version.NONE;

  WatcherDispatcher(RelayLimits limits, Replica replica, DistributorActions actions) {
    most = limits.watchers();
    this.replica = replica;
    this.actions = actions;
    messages = new MessageCache(replica, limits.logChanges());
    admission = new SnapshotAdmission(limits.snapshotBytesPerSecond());
  }

  /** A watcher asks for what comes after {@code since}. */
  void opened(long id, Version since, long now) {
    closed(id);
    if (size() >= most) {
      refused++;
      actions.closeWatcher(id, DistributorActions.Reason.TOO_MANY_WATCHERS);
      return;
    }
    WatcherState watcher = new WatcherState(id, since, now);
    idle.put(id, watcher);
    serve(watcher, now);
    admit(now);
    if (!watcher.sending) {
      keepAlive(watcher, now);
    }
  }

  /** The socket has taken all. */
  void drained(long id, long now) {
    WatcherState watcher = sending.remove(id);
    if (watcher == null) {
      return;
    }
    watcher.sending = false;
    watcher.progressedAtMs = now;
    idle.put(id, watcher);
    serve(watcher, now);
    admit(now);
  }

  /** The socket has taken some: the watcher is given more time, up to a bound. */
  void progressed(long id, long now) {
    WatcherState watcher = sending.get(id);
    if (watcher == null || now + STALLED_MS > watcher.sentAt + TAKEN_WITHIN_MS) {
      return;
    }
    watcher.progressedAtMs = now;
    sending.remove(id);
    sending.put(id, watcher);
  }

  /** The connection has ended. */
  void closed(long id) {
    sending.remove(id);
    WatcherState watcher = idle.remove(id);
    if (watcher != null) {
      admission.remove(watcher);
    }
  }

  /** The list has moved on from {@code former}: all that are idle get the change. */
  void listChanged(Version former, long now) {
    before = former;
    for (WatcherState watcher : new ArrayList<>(idle.values())) {
      serve(watcher, now);
    }
    admit(now);
  }

  /** Whole lists that the budget allows, keep-alives, and the end of those that take nothing. */
  void tick(long now) {
    closeStalled(now);
    admit(now);
    if (keepAliveDue() <= now) {
      keepAlives(now);
    }
  }

  /** When {@link #tick} is wanted, ms. */
  long due() {
    long due = Math.min(keepAliveDue(), admission.due());
    return sending.isEmpty() ? due : Math.min(due, first(sending).progressedAtMs + STALLED_MS);
  }

  /** Closes all. */
  void stop() {
    List<WatcherState> all = new ArrayList<>(idle.values());
    all.addAll(sending.values());
    for (WatcherState watcher : all) {
      closed(watcher.id);
      actions.closeWatcher(watcher.id, DistributorActions.Reason.STOPPING);
    }
  }

  int size() {
    return idle.size() + sending.size();
  }

  int behind() {
    return replica.listed() ? count(watcher -> watcher.lacks(replica.version())) : 0;
  }

  int waiting() {
    return count(watcher -> watcher.waiting || !watcher.listed);
  }

  long changesSent() {
    return changesSent;
  }

  long coalescedSent() {
    return coalescedSent;
  }

  long snapshotsSent() {
    return snapshotsSent;
  }

  long refused() {
    return refused;
  }

  long stalled() {
    return stalled;
  }

  private int count(Predicate<WatcherState> condition) {
    return (int) (idle.values().stream().filter(condition).count()
        + sending.values().stream().filter(condition).count());
  }

  /** Sends what an idle watcher lacks, or queues it for a whole list. */
  private void serve(WatcherState watcher, long now) {
    if (!replica.listed() || !watcher.lacks(replica.version())) {
      return;
    }
    if (canResume(watcher)) {
      changes(watcher, now);
    } else {
      queue(watcher, now);
    }
  }

  private boolean canResume(WatcherState watcher) {
    return watcher.listed && watcher.version.series() == replica.version().series()
        && replica.log().reaches(watcher.version.index());
  }

  private void changes(WatcherState watcher, long now) {
    if (watcher.waiting) {
      admission.remove(watcher);
      watcher.waiting = false;
    }
    changesSent++;
    coalescedSent += watcher.version.equals(before) ? 0 : 1;
    send(watcher, messages.changesSince(watcher.version.index()), now);
  }

  private void queue(WatcherState watcher, long now) {
    if (watcher.listed && !watcher.waiting) {
      watcher.waitingSince = now;
    }
    watcher.waiting = true;
    admission.add(watcher);
  }

  private void admit(long now) {
    for (WatcherState next = admission.ready(now); next != null; next = admission.ready(now)) {
      Message snapshot = messages.snapshot(next.version, now);
      admission.admit(next, messages.snapshotBytes());
      next.waiting = false;
      next.listed = true;
      snapshotsSent++;
      send(next, snapshot, now);
    }
  }

  private void closeStalled(long now) {
    while (!sending.isEmpty() && first(sending).progressedAtMs + STALLED_MS <= now) {
      long id = first(sending).id;
      sending.remove(id);
      stalled++;
      actions.closeWatcher(id, DistributorActions.Reason.STALLED);
    }
  }

  private long keepAliveDue() {
    return idle.isEmpty() ? Long.MAX_VALUE : first(idle).progressedAtMs + KEEP_ALIVE_MS;
  }

  private void keepAlives(long now) {
    while (!idle.isEmpty() && first(idle).progressedAtMs + KEEP_ALIVE_SOONEST_MS <= now) {
      keepAlive(first(idle), now);
    }
  }

  private void keepAlive(WatcherState watcher, long now) {
    admission.remove(watcher);
    send(watcher, KEEP_ALIVE, now);
  }

  private void send(WatcherState watcher, Message message, long now) {
    idle.remove(watcher.id);
    if (message.kind() != Message.Kind.KEEP_ALIVE) {
      watcher.version = message.version();
    }
    watcher.sending = true;
    watcher.sentAt = now;
    watcher.progressedAtMs = now;
    sending.put(watcher.id, watcher);
    actions.send(watcher.id, message);
  }

  private static WatcherState first(Map<Long, WatcherState> watchers) {
    return watchers.values().iterator().next();
  }
}
