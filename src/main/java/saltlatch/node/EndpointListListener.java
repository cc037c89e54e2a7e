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
 * Has endpoint lists applied as they come from discovery, renews the watch where that is the host's
 * task, and reports each list's index once the policy has all of it. Called by the discovery
 * client, on the event loop.
 */
final class EndpointListListener implements DiscoveryClient.Listener {
  private final EndpointDirectory directory;
  private final EventBatcher events;
  private final EndpointListApplier applier;
  private final boolean policyOpensWatch;
  private final LongConsumer onApplied;
  private final List<Long> indicesInBatch = new ArrayList<>(); // of the lists that it completes
  private DiscoveryClient discovery;

  /** {@code onApplied} gets the index of each list that the policy has been handed whole. */
  EndpointListListener(NodeConfiguration configuration, EndpointDirectory directory,
      Scheduler scheduler, EventBatcher events, LongConsumer onApplied) {
    this.directory = directory;
    this.events = events;
    this.onApplied = onApplied;
    applier = new EndpointListApplier(directory, scheduler, events::add);
    policyOpensWatch = configuration.settings().limits().mustOpenWatch();
  }

  /** Sets the client, and hands the list known before the start to the policy. */
  void start(DiscoveryClient client, EndpointList cached) {
    discovery = client;
    indicesInBatch.add(cached.index());
    events.add(directory.update(cached, EndpointUpdateKind.CACHED_SNAPSHOT));
  }

  /** Opens the watch once the node serves, unless the policy does that. */
  void openWatch() {
    if (!policyOpensWatch) discovery.openWatch();
  }

  @Override
  public void endpointsReceived(EndpointList list, Runnable applied) {
    applier.apply(list, () -> {
      applied.run();
      indicesInBatch.add(list.index());
      if (!events.isScheduled()) reportApplied(); // its last slice changed nothing for the policy
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

  /** The batch is over: its lists are applied. */
  void reportApplied() {
    indicesInBatch.forEach(onApplied::accept);
    indicesInBatch.clear();
  }

  /** The policy failed on the batch: its lists do not count as applied. */
  void discardBatch() {
    indicesInBatch.clear();
  }
}
