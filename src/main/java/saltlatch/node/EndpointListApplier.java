package saltlatch.node;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import saltlatch.api.GatewayEvent;
import saltlatch.wire.Discovery;
import saltlatch.wire.Scheduler;
import saltlatch.wire.TargetList;

/**
 * Brings lists and changes to the module in the order they were read: one of at most {@link Discovery#SLICE} entries as
 * one event, a larger one over several turns of the loop. What is read meanwhile waits for its turn.
 */
final class ListApplier {
  /** A list and what runs once all of it is applied. */
  private record Pending(TargetList list, Runnable applied) {}

  private final TargetDirectory directory;
  private final Scheduler scheduler;
  private final Consumer<GatewayEvent> module;
  private final Queue<Pending> pending = new ArrayDeque<>();
  private SlicedUpdate update; // of the first one pending; null: none is being applied

  ListApplier(TargetDirectory directory, Scheduler scheduler, Consumer<GatewayEvent> module) {
    this.directory = directory;
    this.scheduler = scheduler;
    this.module = module;
  }

  /** Applies it now, or behind what is being applied; {@code applied} runs in the turn of its last event. */
  void apply(TargetList list, Runnable applied) {
    if (pending.isEmpty() && !isLarge(list)) {
      applyWhole(list, applied);
      return;
    }
    pending.add(new Pending(list, applied));
    if (pending.size() == 1) turn();
  }

  /** A whole list is as large as what it may remove. */
  private boolean isLarge(TargetList list) {
    return list.targets().size() > Discovery.SLICE || list.whole() && directory.size() > Discovery.SLICE;
  }

  private void applyWhole(TargetList list, Runnable applied) {
    module.accept(directory.take(list,
        list.whole() ? GatewayEvent.EndpointUpdateKind.SNAPSHOT : GatewayEvent.EndpointUpdateKind.DELTA));
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
    if (!pending.isEmpty())
      scheduler.afterTurn(() -> scheduler.at(scheduler.now() + Discovery.SLICE_PAUSE, this::turn));
  }

  private void slice(Pending first) {
    if (update == null) update = new SlicedUpdate(first.list(), directory);
    GatewayEvent event = update.step();
    if (event != null) module.accept(event);
    if (!update.isDone()) return;
    update = null;
    pending.remove();
    first.applied().run();
  }
}
