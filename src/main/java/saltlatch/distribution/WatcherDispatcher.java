package saltlatch.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Sends each watcher the changes or the snapshot that it needs, one message at a time. A watcher is
 * sent nothing more until its socket has accepted the previous message, and is then sent the latest
 * state of everything that changed meanwhile.
 */
final class WatcherDispatcher {
  /**
   * Maximum time, ms, after which an idle watcher is sent a keep-alive. The protocol requires one
   * every 2,000 ms; the difference allows for late ticks.
   */
  static final long KEEP_ALIVE_MS = 1_900;
  /**
   * When a keep-alive is due, watchers idle for at least this time, ms, are sent theirs in the same
   * tick, which reduces the number of ticks.
   */
  static final long KEEP_ALIVE_BATCH_MS = 1_600;
  /** Time without progress of a message after which a watcher is closed, ms. */
  static final long STALL_TIMEOUT_MS = 30_000;
  /**
   * Maximum time to send one message, ms, even to a watcher that makes progress: each snapshot in
   * flight occupies memory.
   */
  static final long MAX_SEND_MS = 120_000;

  private static final Message KEEP_ALIVE = new Message(Message.Kind.KEEP_ALIVE, Version.NONE,
      List.of());

  private final int maxWatchers;
  private final Replica replica;
  private final MessageCache messages;
  private final SnapshotAdmission admission;
  private final DistributorActions actions;
  /** Watchers without a message in flight, in ascending order of their last progress. */
  private final Map<Long, WatcherState> idle = new LinkedHashMap<>();
  /** Watchers with a message in flight, in ascending order of their last progress. */
  private final Map<Long, WatcherState> sending = new LinkedHashMap<>();

  private long changesSent;
  private long coalescedSent;
  private long snapshotsSent;
  private long refused;
  private long stalled;
  private Version previousVersion = Version.NONE;

  WatcherDispatcher(RelayLimits limits, Replica replica, DistributorActions actions) {
    maxWatchers = limits.watchers();
    this.replica = replica;
    this.actions = actions;
    messages = new MessageCache(replica, limits.logChanges());
    admission = new SnapshotAdmission(limits.snapshotBytesPerSecond());
  }

  /** Adds a watcher that requests the changes after {@code since}, or refuses it. */
  void opened(long id, Version since, long now) {
    closed(id);
    if (size() >= maxWatchers) {
      refused++;
      actions.closeWatcher(id, DistributorActions.Reason.TOO_MANY_WATCHERS);
      return;
    }
    WatcherState watcher = new WatcherState(id, since, now);
    idle.put(id, watcher);
    sendOrQueue(watcher, now);
    sendAdmittedSnapshots(now);
    if (!watcher.messageInFlight) {
      sendKeepAlive(watcher, now);
    }
  }

  /** Reports that the socket accepted all of the message; sends the next one if there is any. */
  void drained(long id, long now) {
    WatcherState watcher = sending.remove(id);
    if (watcher == null) {
      return;
    }
    watcher.messageInFlight = false;
    watcher.progressedAtMs = now;
    idle.put(id, watcher);
    sendOrQueue(watcher, now);
    sendAdmittedSnapshots(now);
  }

  /**
   * Reports that the socket accepted part of the message; extends the watcher's time, up to {@link
   * #MAX_SEND_MS} in total.
   */
  void progressed(long id, long now) {
    WatcherState watcher = sending.get(id);
    if (watcher == null || now + STALL_TIMEOUT_MS > watcher.sentAtMs + MAX_SEND_MS) {
      return;
    }
    watcher.progressedAtMs = now;
    sending.remove(id);
    sending.put(id, watcher);
  }

  /** Removes a watcher whose connection has ended. */
  void closed(long id) {
    sending.remove(id);
    WatcherState watcher = idle.remove(id);
    if (watcher != null) {
      admission.remove(watcher);
    }
  }

  /**
   * Sends the change to all idle watchers.
   *
   * @param previous the list's version before the change
   */
  void listChanged(Version previous, long now) {
    previousVersion = previous;
    for (WatcherState watcher : new ArrayList<>(idle.values())) {
      sendOrQueue(watcher, now);
    }
    sendAdmittedSnapshots(now);
  }

  /**
   * Closes stalled watchers, sends the snapshots that the budget allows and the keep-alives that
   * are due.
   */
  void tick(long now) {
    closeStalled(now);
    sendAdmittedSnapshots(now);
    if (keepAliveDueAtMs() <= now) {
      sendDueKeepAlives(now);
    }
  }

  /** Returns when {@link #tick} must be called next, in ms. */
  long nextTickAtMs() {
    long nextTick = Math.min(keepAliveDueAtMs(), admission.nextAdmissionAtMs());
    return sending.isEmpty() ? nextTick
        : Math.min(nextTick, leastRecent(sending).progressedAtMs + STALL_TIMEOUT_MS);
  }

  /** Closes all watchers. */
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
    return replica.hasList() ? count(watcher -> watcher.isBehind(replica.version())) : 0;
  }

  int waiting() {
    return count(watcher -> watcher.needsSnapshot || !watcher.hasList);
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

  /** Sends an idle watcher the changes that it needs, or queues it for a snapshot. */
  private void sendOrQueue(WatcherState watcher, long now) {
    if (!replica.hasList() || !watcher.isBehind(replica.version())) {
      return;
    }
    if (canResume(watcher)) {
      sendChanges(watcher, now);
    } else {
      queueForSnapshot(watcher, now);
    }
  }

  private boolean canResume(WatcherState watcher) {
    return watcher.hasList && watcher.version.series() == replica.version().series()
        && replica.log().covers(watcher.version.index());
  }

  private void sendChanges(WatcherState watcher, long now) {
    if (watcher.needsSnapshot) {
      admission.remove(watcher);
      watcher.needsSnapshot = false;
    }
    changesSent++;
    coalescedSent += watcher.version.equals(previousVersion) ? 0 : 1;
    send(watcher, messages.changesSince(watcher.version.index()), now);
  }

  private void queueForSnapshot(WatcherState watcher, long now) {
    if (watcher.hasList && !watcher.needsSnapshot) {
      watcher.waitingSinceMs = now;
    }
    watcher.needsSnapshot = true;
    admission.add(watcher);
  }

  private void sendAdmittedSnapshots(long now) {
    for (WatcherState next = admission.nextAdmissible(now); next != null; next = admission
        .nextAdmissible(now)) {
      Message snapshot = messages.snapshot(next.version, now);
      admission.admit(next, messages.snapshotBytes());
      next.needsSnapshot = false;
      next.hasList = true;
      snapshotsSent++;
      send(next, snapshot, now);
    }
  }

  private void closeStalled(long now) {
    while (!sending.isEmpty() && leastRecent(sending).progressedAtMs + STALL_TIMEOUT_MS <= now) {
      long id = leastRecent(sending).id;
      sending.remove(id);
      stalled++;
      actions.closeWatcher(id, DistributorActions.Reason.STALLED);
    }
  }

  private long keepAliveDueAtMs() {
    return idle.isEmpty() ? Long.MAX_VALUE : leastRecent(idle).progressedAtMs + KEEP_ALIVE_MS;
  }

  private void sendDueKeepAlives(long now) {
    while (!idle.isEmpty() && leastRecent(idle).progressedAtMs + KEEP_ALIVE_BATCH_MS <= now) {
      sendKeepAlive(leastRecent(idle), now);
    }
  }

  private void sendKeepAlive(WatcherState watcher, long now) {
    admission.remove(watcher);
    send(watcher, KEEP_ALIVE, now);
  }

  private void send(WatcherState watcher, Message message, long now) {
    idle.remove(watcher.id);
    if (message.kind() != Message.Kind.KEEP_ALIVE) {
      watcher.version = message.version();
    }
    watcher.messageInFlight = true;
    watcher.sentAtMs = now;
    watcher.progressedAtMs = now;
    sending.put(watcher.id, watcher);
    actions.send(watcher.id, message);
  }

  private static WatcherState leastRecent(Map<Long, WatcherState> watchers) {
    return watchers.values().iterator().next();
  }
}
