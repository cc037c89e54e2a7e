package saltlatch.node;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import saltlatch.api.GatewayEvent;
import saltlatch.wire.discovery.DiscoveryClient;
import saltlatch.wire.discovery.EndpointList;
import saltlatch.wire.transport.Scheduler;

/**
 * Brings lists and changes to the module in the order they were read: one of at most
 * {@link DiscoveryClient#MAX_ENTRIES_PER_TURN} entries as one event, a larger one over several
 * turns of the loop. What is read meanwhile waits for its turn.
 */
final class EndpointListApplier {
  /** A list and what runs once all of it is applied. */
  private record Pending(EndpointList list, Runnable applied) {}

  private final EndpointDirectory directory;
  private final Scheduler scheduler;
  private final Consumer<GatewayEvent> module;
  private final Queue<Pending> pending = new ArrayDeque<>();
  private IncrementalListUpdate update; // of the first one pending; null: none is being applied

  EndpointListApplier(EndpointDirectory directory, Scheduler scheduler,
      Consumer<GatewayEvent> module) {
    this.directory = directory;
    this.scheduler = scheduler;
    this.module = module;
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
    if (pending.size() == 1) turn();
  }

  /** A whole list is as large as what it may remove. */
  private boolean isLarge(EndpointList list) {
    return list.entries().size() > DiscoveryClient.MAX_ENTRIES_PER_TURN
        || list.snapshot() && directory.size() > DiscoveryClient.MAX_ENTRIES_PER_TURN;
  }

  private void applyWhole(EndpointList list, Runnable applied) {
    module.accept(directory.take(list, list.snapshot() ? GatewayEvent.EndpointUpdateKind.SNAPSHOT
        : GatewayEvent.EndpointUpdateKind.DELTA));
    applied.run();
  }

  private void turn() {
    Pending first = pending.peek();
    if (update == null && !isLarge(first.list())) {
      pending.remove();
      applyWhole(first.list(), first.applied());
    } else {
      slice(first);
    }
    // Behind the module's turn, so that no two slices fall into one batch.
    if (!pending.isEmpty()) scheduler.afterTurn(
        () -> scheduler.at(scheduler.now() + DiscoveryClient.TURN_PAUSE_TICKS, this::turn));
  }

  private void slice(Pending first) {
    if (update == null) update = new IncrementalListUpdate(first.list(), directory);
    GatewayEvent event = update.step();
    if (event != null) module.accept(event);
    if (!update.isDone()) return;
    update = null;
    pending.remove();
    first.applied().run();
  }
}
