package saltlatch.node;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import saltlatch.api.GatewayEvent;
import saltlatch.api.Ticks;
import saltlatch.wire.discovery.EndpointList;
import saltlatch.wire.transport.Scheduler;

/**
 * Brings lists and changes to the policy in the order in which they were read. One of at most
 * {@link #MAX_ENTRIES_PER_SLICE} entries is one event; a larger one is applied in slices over
 * several turns of the loop, and what is read meanwhile waits. Guards against a list of tens of
 * thousands of app servers that holds the loop, which shows as requests that miss their latency
 * objective each time the list comes. Owned by the event loop.
 */
final class EndpointListApplier {
  /** Entries looked at in one turn of the loop, and in one event: well under 5 ms of CPU time. */
  static final int MAX_ENTRIES_PER_SLICE = 512;
  /** Left to the loop's other work between two slices. */
  private static final long SLICE_PAUSE_TICKS = Ticks.PER_MILLISECOND;

  /** A list, and what runs once all of it is applied. */
  private record Pending(EndpointList list, Runnable applied) {}

  private final EndpointDirectory directory;
  private final Scheduler scheduler;
  private final Consumer<GatewayEvent> events;
  private final Queue<Pending> pending = new ArrayDeque<>();
  private IncrementalListUpdate update; // of the first one pending; null: none is being applied

  /** {@code events} takes what the policy is to know. */
  EndpointListApplier(EndpointDirectory directory, Scheduler scheduler,
      Consumer<GatewayEvent> events) {
    this.directory = directory;
    this.scheduler = scheduler;
    this.events = events;
  }

  /**
   * Applies it now, or behind what is being applied; {@code applied} runs in the turn of its last
   * event.
   */
  void apply(EndpointList list, Runnable applied) {
    if (pending.isEmpty() && !isLarge(list)) {
      applyWhole(list, applied);
      return;
    }
    pending.add(new Pending(list, applied));
    if (pending.size() == 1) applyNext();
  }

  /** A snapshot is as large as what it may remove. */
  private boolean isLarge(EndpointList list) {
    return list.entries().size() > MAX_ENTRIES_PER_SLICE
        || (list.snapshot() && directory.assignedCount() > MAX_ENTRIES_PER_SLICE);
  }

  private void applyWhole(EndpointList list, Runnable applied) {
    events.accept(directory.update(list, list.snapshot() ? GatewayEvent.EndpointUpdateKind.SNAPSHOT
        : GatewayEvent.EndpointUpdateKind.DELTA));
    applied.run();
  }

  private void applyNext() {
    Pending first = pending.peek();
    if (update == null && !isLarge(first.list())) {
      pending.remove();
      applyWhole(first.list(), first.applied());
    } else {
      applySlice(first);
    }
    // Behind the policy's turn, so that no two slices fall into one batch.
    if (!pending.isEmpty()) {
      scheduler.afterCurrentIteration(
          () -> scheduler.scheduleAt(scheduler.now() + SLICE_PAUSE_TICKS, this::applyNext));
    }
  }

  private void applySlice(Pending first) {
    if (update == null) update = new IncrementalListUpdate(first.list(), directory);
    GatewayEvent event = update.step();
    if (event != null) events.accept(event);
    if (!update.isDone()) return;
    update = null;
    pending.remove();
    first.applied().run();
  }
}
