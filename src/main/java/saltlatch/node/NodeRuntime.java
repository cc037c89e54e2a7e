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
import saltlatch.state.NodeMemory;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.NameIdTable;
import saltlatch.state.RequestContext;
import saltlatch.wire.appserver.AppServerClient;
import saltlatch.wire.counter.CounterClient;
import saltlatch.wire.discovery.DiscoveryClient;
import saltlatch.wire.peer.PeerSocket;
import saltlatch.wire.transport.InputTurns;
import saltlatch.wire.transport.Scheduler;

/**
 * Connects one policy to clients, app servers, the counter, discovery and peers on one event loop:
 * creates the components, starts them in order and stops them. Except for the constructor, the
 * getters and {@link #onListApplied}, all methods run on that event loop, which owns the
 * components; none of them is thread-safe. Contains no policy logic.
 */
final class NodeRuntime implements EventBatcher.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(NodeRuntime.class);

  private final Vertx vertx;
  private final NodeConfiguration configuration;
  private final NodeMetrics metrics;
  private final NodeHistory history;
  private final NodeMemory memory;
  private final EventLoopScheduler scheduler;
  private final StallDetector stalls;
  private final InputTurns inputTurns;
  private final EventBatcher events;
  private final InFlightRequests requests;
  private final ClientRequestHandler clientRequests;
  private final AttemptListener attempts;
  private final ActionExecutor actions;
  private final PeerMessageListener peerMessages;
  private LongConsumer onListApplied = index -> {};
  private EndpointListListener endpointLists;
  private OutboundClients outboundClients; // null until the start
  private GatewayPolicy policy;
  // null if not enabled; the classes of membership are not loaded then
  private MembershipAdapter membership;

  /** Creates the components without starting them; {@code loop} is the event loop to run on. */
  NodeRuntime(Vertx vertx, Context loop, NodeConfiguration configuration, NodeMetrics metrics,
      NodeHistory history) {
    this.vertx = vertx;
    this.configuration = configuration;
    this.metrics = metrics;
    this.history = history;
    scheduler = new EventLoopScheduler(vertx, loop, this::checkStall);
    stalls = new StallDetector(scheduler::now, scheduler::wakeUpTicks, this::stallThresholdTicks,
        metrics, history);
    inputTurns = new InputTurns(scheduler);
    events = new EventBatcher(scheduler, stalls, inputTurns, metrics, this);
    memory = configuration.resourceLimits().newMemory(Runtime.getRuntime().maxMemory());
    requests = new InFlightRequests(memory.requests());
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

  /** Sets the action that receives the index of each completely applied list or change. */
  void onListApplied(LongConsumer action) {
    onListApplied = action;
  }

  /** Returns the handler of the clients' requests. */
  ClientRequestHandler clientRequestHandler() {
    return clientRequests;
  }

  /** Returns the budgets for what connections hold of messages. */
  NodeMemory memory() {
    return memory;
  }

  /** Returns the turns of the connections on the event loop. */
  InputTurns inputTurns() {
    return inputTurns;
  }

  /** Returns the event loop's clock and timers. */
  Scheduler scheduler() {
    return scheduler;
  }

  /** Starts the policy with the cached endpoint list; connections are opened on demand. */
  void start(GatewayPolicy.Factory factory) {
    stalls.start();
    HostSettings settings = configuration.hostSettings();
    AppServerClient appServers = new AppServerClient(vertx, scheduler, attempts, metrics,
        settings.connectTimeoutTicks(), settings.connectionIdleTicks(),
        configuration.resourceLimits().maxServerConnections(), memory.incompleteReplies());
    EndpointDirectory directory = new EndpointDirectory(appServers,
        new NameIdTable(settings.zoneNames()), new NameIdTable(settings.machineTypeNames()));
    attempts.start(directory);
    endpointLists = new EndpointListListener(configuration, directory, scheduler, events,
        index -> onListApplied.accept(index));
    outboundClients = new OutboundClients(appServers, directory, counterClient(), discoveryClient(),
        peerSocket());
    actions.start(outboundClients);
    policy = factory.create(scheduler.now(), configuration.settings(), actions);
    events.start(policy);
    endpointLists.start(outboundClients.discovery(), configuration.cachedEndpoints());
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
    membership = new MembershipAdapter(scheduler, outboundClients.peers(), history, configuration,
        events::add);
    peerMessages.start(membership);
  }

  /** Opens the watch of the endpoint list, unless the policy does so; called once it serves. */
  void openWatch() {
    endpointLists.openWatch();
  }

  /** Returns how many app servers are listed. */
  int listedServerCount() {
    return outboundClients.directory().listedCount();
  }

  /**
   * Applies the addresses of discovery and the counter from a reloaded configuration. All other
   * values stay as they were at the start.
   */
  void reload(NodeConfiguration newConfiguration) {
    metrics.add(Metric.RELOADS);
    NodeConfiguration.Addresses addresses = newConfiguration.addresses();
    LOG.info("configuration_reloaded discovery={} counter={}", addresses.discovery(),
        addresses.counter());
    history.reloaded();
    outboundClients.discovery().changeAddress(addresses.discovery());
    if (outboundClients.counter() != null && addresses.counter() != null) {
      outboundClients.counter().changeAddress(addresses.counter());
    }
  }

  /** Closes the watch and notifies the peers, before a planned shutdown. */
  void leaveFleet() {
    if (outboundClients != null) outboundClients.discovery().closeWatch();
    if (membership != null) membership.leave();
  }

  /** Stops the watch and all timers while the event loop keeps running for other nodes. */
  void stop() {
    leaveFleet();
    scheduler.stop();
  }

  /** Returns the text of INFO, with one {@code name=value} line for each metric. */
  String infoText() {
    String ownMetrics = metrics.infoText() + memory.infoText() + "held=" + requests.size() + "\n";
    if (membership == null) return ownMetrics;
    return ownMetrics + membership.infoText(policy.gossipValidityTicks());
  }

  @Override
  public void batchFailed(List<GatewayEvent> failedEvents) {
    failedEvents.forEach(this::abortRequestOf);
    endpointLists.discardBatch();
  }

  @Override
  public void batchFinished() {
    endpointLists.reportApplied();
  }

  /** Fails an event's request if it is unfinished, and reports its client as disconnected. */
  private void abortRequestOf(GatewayEvent event) {
    RequestContext request = requests.find(requestIdOf(event));
    if (request != null && !request.isFinished()) clientRequests.abort(request);
  }

  /** Returns the event's request ID, or -1; the policy uses request IDs as timer IDs. */
  private static long requestIdOf(GatewayEvent event) {
    if (event instanceof GatewayEvent.RequestArrived arrived) return arrived.requestId();
    if (event instanceof GatewayEvent.AttemptEnded ended) return ended.requestId();
    if (event instanceof GatewayEvent.TimerFired fired) return fired.timerId();
    return -1;
  }
}
