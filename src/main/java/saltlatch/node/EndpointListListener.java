package saltlatch.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.EndpointUpdateKind;
import saltlatch.wire.discovery.DiscoveryClient;
import saltlatch.wire.discovery.EndpointList;
import saltlatch.wire.transport.Scheduler;

/**
 * Passes endpoint lists from discovery to the {@link EndpointListApplier}, reopens the watch unless
 * the policy does so, and reports the index of each list once the policy has received all of it.
 * The discovery client calls it on the event loop.
 */
final class EndpointListListener implements DiscoveryClient.Listener {
  private final EndpointDirectory directory;
  private final EventBatcher events;
  private final EndpointListApplier applier;
  private final boolean policyOpensWatch;
  private final LongConsumer onApplied;
  private final List<Long> indicesInBatch = new ArrayList<>(); // of lists that it completes
  private DiscoveryClient discovery;

  /** {@code onApplied} receives the index of each list that is completely applied. */
  EndpointListListener(NodeConfiguration configuration, EndpointDirectory directory,
      Scheduler scheduler, EventBatcher events, LongConsumer onApplied) {
    this.directory = directory;
    this.events = events;
    this.onApplied = onApplied;
    applier = new EndpointListApplier(directory, scheduler, events::add);
    policyOpensWatch = configuration.settings().limits().mustOpenWatch();
  }

  /** Sets the discovery client, and passes the cached endpoint list to the policy. */
  void start(DiscoveryClient client, EndpointList cached) {
    discovery = client;
    indicesInBatch.add(cached.index());
    events.add(directory.update(cached, EndpointUpdateKind.CACHED_SNAPSHOT));
  }

  /** Opens the watch, unless the policy does so; called once the node serves clients. */
  void openWatch() {
    if (!policyOpensWatch) discovery.openWatch();
  }

  @Override
  public void endpointsReceived(EndpointList list, Runnable applied) {
    applier.apply(list, () -> {
      applied.run();
      indicesInBatch.add(list.index());
      if (!events.isScheduled()) reportApplied(); // the last slice produced no event
    });
  }

  @Override
  public void watchEnded() {
    if (policyOpensWatch) {
      events.add(new GatewayEvent.EndpointsUpdated(EndpointUpdateKind.FAILED, List.of()));
    } else {
      discovery.openWatch();
    }
  }

  /** Reports the lists that the batch completed; called once the policy has handled the batch. */
  void reportApplied() {
    indicesInBatch.forEach(onApplied::accept);
    indicesInBatch.clear();
  }

  /** Drops the batch's list indices, since the policy failed to handle the batch. */
  void discardBatch() {
    indicesInBatch.clear();
  }
}
