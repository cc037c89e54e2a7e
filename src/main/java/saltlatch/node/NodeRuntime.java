package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayPolicy;
import saltlatch.settings.HostSettings;
import saltlatch.state.InFlightRequests;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.NameIdTable;
import saltlatch.state.RequestContext;
import saltlatch.wire.appserver.AppServerClient;
import saltlatch.wire.counter.CounterClient;
import saltlatch.wire.discovery.DiscoveryClient;
import saltlatch.wire.peer.PeerSocket;
import saltlatch.wire.transport.Scheduler;

/**
 * Joins one policy with its partners on one event loop: builds the parts, starts them in order, and
 * ends them. Apart from the constructor everything here runs on that event loop, which owns all
 * parts; none of them is thread-safe. Decides nothing.
 */
final class NodeRuntime implements EventBatcher.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(NodeRuntime.class);

  private final Vertx vertx;
  private final NodeConfiguration configuration;
  private final NodeMetrics metrics;
  private final NodeHistory history;
  private final EventLoopScheduler scheduler;
  private final StallDetector stalls;
  private final EventBatcher events;
  private final InFlightRequests requests;
  private final ClientRequestHandler clientRequests;
  private final AttemptListener attempts;
  private final ActionExecutor actions;
  private final PeerMessageListener peerMessages;
  private LongConsumer onListApplied = index -> {};
  private EndpointListListener endpointLists;
  private OutboundClients partners; // null: not started
  private GatewayPolicy policy;
  // null: not enabled, and none of membership's classes are loaded
  private MembershipAdapter membership;

  /** Neither starts nor connects anything; {@code loop}: the event loop that it is to run on. */
  NodeRuntime(Vertx vertx, Context loop, NodeConfiguration configuration, NodeMetrics metrics,
      NodeHistory history) {
    this.vertx = vertx;
    this.configuration = configuration;
    this.metrics = metrics;
    this.history = history;
    scheduler = new EventLoopScheduler(vertx, loop, this::checkStall);
    stalls = new StallDetector(scheduler::now, scheduler::wakeUpTicks, this::stallThresholdTicks,
        metrics, history);
    events = new EventBatcher(scheduler, stalls, metrics, this);
    requests = new InFlightRequests(configuration.resourceLimits().maxRequestBytes());
    FinalResponses responses = new FinalResponses(history);
    clientRequests = new ClientRequestHandler(configuration, requests, responses, events, stalls,
        metrics, history, this::infoText);
    HostSettings settings = configuration.hostSettings();
    attempts = new AttemptListener(settings.loadReportFields(), requests, responses, events,
        history);
    actions = new ActionExecutor(settings.connectTimeoutTicks(), scheduler, requests, responses,
        events, attempts, metrics, history);
    peerMessages = new PeerMessageListener(events);
  }

  private void checkStall() {
    stalls.check();
  }

  private long stallThresholdTicks() {
    return policy.stallThresholdTicks();
  }

  /** Sets what gets the index of each endpoint list or change that the policy has whole. */
  void onListApplied(LongConsumer action) {
    onListApplied = action;
  }

  /** What takes the clients' requests. */
  ClientRequestHandler clientRequestHandler() {
    return clientRequests;
  }

  /** The event loop's clock and timers. */
  Scheduler scheduler() {
    return scheduler;
  }

  /** Starts the policy on the endpoint list last known; connections open as they are needed. */
  void start(GatewayPolicy.Factory factory) {
    stalls.start();
    HostSettings settings = configuration.hostSettings();
    AppServerClient appServers = new AppServerClient(vertx, scheduler, attempts, metrics,
        settings.connectTimeoutTicks(), settings.connectionIdleTicks(),
        configuration.resourceLimits().maxServerConnections());
    EndpointDirectory directory = new EndpointDirectory(appServers,
        new NameIdTable(settings.zoneNames()), new NameIdTable(settings.machineTypeNames()));
    attempts.start(directory);
    endpointLists = new EndpointListListener(configuration, directory, scheduler, events,
        index -> onListApplied.accept(index));
    partners = new OutboundClients(appServers, directory, counterClient(), discoveryClient(),
        peerSocket());
    actions.start(partners);
    policy = factory.create(scheduler.now(), configuration.settings(), actions);
    events.start(policy);
    endpointLists.start(partners.discovery(), configuration.cachedEndpoints());
    if (configuration.membershipEnabled()) startMembership();
  }

  private CounterClient counterClient() {
    if (configuration.addresses().counter() == null) return null;
    return new CounterClient(vertx, configuration.addresses().counter(), scheduler,
        (counterName, result, total, elapsedTicks) -> events.add(
            new GatewayEvent.CounterReplied(counterName, result.outcome(), total, elapsedTicks)),
        metrics, configuration.hostSettings().counterTimeoutTicks());
  }

  private DiscoveryClient discoveryClient() {
    return new DiscoveryClient(vertx, configuration.addresses().discovery(), scheduler,
        endpointLists, metrics, configuration.cachedEndpoints());
  }

  private PeerSocket peerSocket() {
    if (!configuration.hasPeers()) return null;
    NodeConfiguration.Addresses addresses = configuration.addresses();
    return new PeerSocket(vertx, addresses.peerListen(), addresses.peers(),
        addresses.peerBroadcast(), peerMessages, metrics);
  }

  private void startMembership() {
    membership = new MembershipAdapter(scheduler, partners.peers(), history, configuration,
        events::add);
    peerMessages.start(membership);
  }

  /** Opens the watch of the endpoint list, once the node serves; the policy may do so itself. */
  void openWatch() {
    endpointLists.openWatch();
  }

  /** App servers now listed. */
  int listedServerCount() {
    return partners.directory().listedCount();
  }

  /**
   * Takes over the addresses of discovery and the counter from a configuration that was read anew.
   * The rest holds from the start.
   */
  void reload(NodeConfiguration renewed) {
    metrics.add(Metric.RELOADS);
    NodeConfiguration.Addresses addresses = renewed.addresses();
    LOG.info("configuration_reloaded discovery={} counter={}", addresses.discovery(),
        addresses.counter());
    history.reloaded();
    partners.discovery().changeAddress(addresses.discovery());
    if (partners.counter() != null && addresses.counter() != null) {
      partners.counter().changeAddress(addresses.counter());
    }
  }

  /** A planned end is near: no more lists are followed, and the peers learn of it. */
  void leaveFleet() {
    if (partners != null) partners.discovery().closeWatch();
    if (membership != null) membership.leave();
  }

  /** Ends the watch and all timers, where the event loop lives on with other nodes. */
  void stop() {
    leaveFleet();
    scheduler.stop();
  }

  /** The text of INFO: a {@code name=value} line for each figure. */
  String infoText() {
    String own = metrics.infoText() + "held=" + requests.size() + "\n";
    return membership == null ? own : own + membership.infoText(policy.gossipValidityTicks());
  }

  @Override
  public void batchFailed(List<GatewayEvent> failed) {
    failed.forEach(this::failRequestOf);
    endpointLists.discardBatch();
  }

  @Override
  public void batchFinished() {
    endpointLists.reportApplied();
  }

  /** Fails the request that the policy failed on, and reports it to the policy as gone. */
  private void failRequestOf(GatewayEvent event) {
    RequestContext request = requests.find(requestIdOf(event));
    if (request != null && !request.isFinished()) clientRequests.abort(request);
  }

  /** The request that an event is about, or below 0; the policy's timers bear requests' numbers. */
  private static long requestIdOf(GatewayEvent event) {
    if (event instanceof GatewayEvent.RequestArrived arrived) return arrived.requestId();
    if (event instanceof GatewayEvent.AttemptEnded ended) return ended.requestId();
    if (event instanceof GatewayEvent.TimerFired fired) return fired.timerId();
    return -1;
  }
}
