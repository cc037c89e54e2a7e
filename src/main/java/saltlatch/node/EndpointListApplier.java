package saltlatch.node;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import saltlatch.api.GatewayEvent;
import saltlatch.api.Ticks;
import saltlatch.wire.discovery.EndpointList;
import saltlatch.wire.transport.Scheduler;

/**
 * Applies endpoint lists and changes in the order in which they were read. One with at most
 * {@link #MAX_ENTRIES_PER_SLICE} entries becomes a single event. A larger one is applied in slices
 * over several iterations of the event loop, and lists that are read in the meantime are queued:
 * applied at once, a list of tens of thousands of app servers would block the event loop, and
 * requests would miss their latency objective at each such list. Owned by the event loop.
 */
final class EndpointListApplier {
  /** Limit of entries per event loop iteration and per event; takes well under 5 ms of CPU time. */
  static final int MAX_ENTRIES_PER_SLICE = 512;
  /** Time between two slices in which the event loop does other work. */
  private static final long SLICE_PAUSE_TICKS = Ticks.PER_MILLISECOND;

  /** A queued list, and the action that runs once the list is completely applied. */
  private record Pending(EndpointList list, Runnable applied) {}

  private final EndpointDirectory directory;
  private final Scheduler scheduler;
  private final Consumer<GatewayEvent> events;
  private final Queue<Pending> pending = new ArrayDeque<>();
  private IncrementalListUpdate update; // of the head of pending; null if none is in progress

  /** Creates the applier; {@code events} receives the events for the policy. */
  EndpointListApplier(EndpointDirectory directory, Scheduler scheduler,
      Consumer<GatewayEvent> events) {
    this.directory = directory;
    this.scheduler = scheduler;
    this.events = events;
  }

  /**
   * Applies a list at once, or queues it if an earlier one is still being applied. {@code applied}
   * runs in the same event loop iteration as the list's last event.
   */
  void apply(EndpointList list, Runnable applied) {
    if (pending.isEmpty() && !isLarge(list)) {
      applyInOneEvent(list, applied);
      return;
    }
    pending.add(new Pending(list, applied));
    if (pending.size() == 1) applyNext();
  }

  /** A snapshot also counts as large if many app servers are assigned, since it may remove them. */
  private boolean isLarge(EndpointList list) {
    return list.entries().size() > MAX_ENTRIES_PER_SLICE
        || (list.snapshot() && directory.assignedCount() > MAX_ENTRIES_PER_SLICE);
  }

  private void applyInOneEvent(EndpointList list, Runnable applied) {
    events.accept(directory.update(list, list.snapshot() ? GatewayEvent.EndpointUpdateKind.SNAPSHOT
        : GatewayEvent.EndpointUpdateKind.DELTA));
    applied.run();
  }

  private void applyNext() {
    Pending first = pending.peek();
    if (update == null && !isLarge(first.list())) {
      pending.remove();
      applyInOneEvent(first.list(), first.applied());
    } else {
      applyNextSlice(first);
    }
    // Runs after the policy has received this slice, so that no batch contains two slices.
    if (!pending.isEmpty()) {
      scheduler.afterCurrentIteration(
          () -> scheduler.scheduleAt(scheduler.now() + SLICE_PAUSE_TICKS, this::applyNext));
    }
  }

  private void applyNextSlice(Pending first) {
    if (update == null) update = new IncrementalListUpdate(first.list(), directory);
    GatewayEvent event = update.step();
    if (event != null) events.accept(event);
    if (!update.isDone()) return;
    update = null;
    pending.remove();
    first.applied().run();
  }
}
