package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayPolicy;
import saltlatch.api.GossipMessage;
import saltlatch.history.History;
import saltlatch.state.ClientRequest;
import saltlatch.state.InFlightRequests;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.NumberedNames;
import saltlatch.state.RequestContext;
import saltlatch.state.TimerQueue;
import saltlatch.wire.appserver.AppServerClient;
import saltlatch.wire.appserver.AppServerReply;
import saltlatch.wire.client.ClientListener;
import saltlatch.wire.counter.CounterClient;
import saltlatch.wire.discovery.DiscoveryClient;
import saltlatch.wire.discovery.EndpointList;
import saltlatch.wire.peer.GossipCodec;
import saltlatch.wire.peer.MembershipCodec;
import saltlatch.wire.peer.PeerSocket;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.Scheduler;

/**
 * Makes the module's events of what the sockets bring, and does what the module wants. All of it
 * runs on one event loop: what one turn of the loop brings goes to the module in one batch. It
 * decides nothing.
 */
final class EventLoopAdapter
    implements
      GatewayActions,
      Scheduler,
      ClientListener.Handler,
      AppServerClient.Listener,
      CounterClient.Listener,
      DiscoveryClient.Listener,
      PeerSocket.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopAdapter.class);

  private final Vertx vertx;
  private final Context loop;
  private final NodeConfiguration configuration;
  private final NodeMetrics counters;
  private final NodeClock clock = new NodeClock();
  private final TimerQueue timers = new TimerQueue();
  private final InFlightRequests exchanges;
  private final NumberedNames frontends;
  private final NumberedNames plans;
  private final NumberedNames zones;
  private final NumberedNames types;
  private List<GatewayEvent> batch = new ArrayList<>();
  private boolean scheduled;
  private long armedFor = Long.MAX_VALUE;
  private long armed;
  private long ranAt; // this loop was seen running then
  private long backAt; // it was away until then; 0: never
  private long awayFor;
  private final History history; // null: none is kept, and none of its classes are loaded
  private GatewayPolicy gateway;
  private AppServerClient appServers;
  private EndpointDirectory directory;
  private EndpointListApplier lists;
  private LongConsumer onListed = index -> {};
  // indices of those that the batch completes
  private final List<Long> listsInBatch = new ArrayList<>();
  private boolean ended;
  private CounterClient counter;
  private DiscoveryClient discovery;
  private PeerSocket peers;
  // null: nodes do not know each other, and none of membership's classes are loaded
  private MembershipAdapter roster;

  EventLoopAdapter(Vertx vertx, Context loop, NodeConfiguration configuration, NodeMetrics counters,
      long mostBytes, History history) {
    this.history = history;
    this.vertx = vertx;
    this.loop = loop;
    this.configuration = configuration;
    this.counters = counters;
    exchanges = new InFlightRequests(mostBytes);
    frontends = new NumberedNames(configuration.frontends());
    plans = new NumberedNames(configuration.plans());
    zones = new NumberedNames(configuration.zones());
    types = new NumberedNames(configuration.types());
  }

  /**
   * Starts the module on the list last known; the sockets of the client side open as they are
   * needed.
   */
  void start(GatewayPolicy.Factory maker) {
    ranAt = clock.now();
    appServers = new AppServerClient(vertx, this, this, counters, configuration.connectTime(),
        configuration.idleTime(), configuration.appSrvLinks());
    directory = new EndpointDirectory(appServers, zones, types);
    lists = new EndpointListApplier(directory, this, this::add);
    if (configuration.counter() != null) {
      counter = new CounterClient(vertx, configuration.counter(), this, this, counters,
          configuration.countLimit());
    }
    discovery = new DiscoveryClient(vertx, configuration.discovery(), this, this, counters,
        configuration.known());
    if (configuration.mayTell() && configuration.peerListen() != null) {
      peers = new PeerSocket(vertx, configuration.peerListen(), configuration.peers(),
          configuration.peersAll(), this, counters);
    }
    gateway = maker.create(clock.now(), configuration.site(), this);
    listsInBatch.add(configuration.known().index());
    add(directory.take(configuration.known(), GatewayEvent.EndpointUpdateKind.CACHED_SNAPSHOT));
    if (configuration.membership())
      roster = new MembershipAdapter(this, peers, history, configuration, this::add);
  }

  /** The end is near, and planned: nothing is sent on any more, and the peers are told. */
  void leave() {
    if (discovery != null) discovery.stop();
    if (roster != null) roster.leave();
  }

  /** Called with its index once a list or change has been handed to the module. */
  void onListed(LongConsumer then) {
    onListed = then;
  }

  /** App servers now listed. */
  int listed() {
    return directory.listed();
  }

  /**
   * Ends the watch and the timers, where the loop lives on (the laboratory's nodes share theirs).
   */
  void end() {
    leave();
    ended = true;
    if (armedFor != Long.MAX_VALUE) vertx.cancelTimer(armed);
  }

  /** Once the node serves; where changes must be asked for, the module does. */
  void watchEndpoints() {
    if (!configuration.site().limits().mustOpenWatch()) discovery.follow();
  }

  /**
   * Takes over what a configuration read anew names: discovery and the counter. The rest holds from
   * the start.
   */
  void move(NodeConfiguration to) {
    counters.add(Metric.RELOADS);
    LOG.info("discovery at {}, counter at {}", to.discovery(), to.counter());
    if (history != null) history.add("reloaded");
    discovery.move(to.discovery());
    if (counter != null && to.counter() != null) counter.move(to.counter());
  }

  // ---- the clock and the timers

  @Override
  public long now() {
    return clock.now();
  }

  @Override
  public TimerQueue.Timer at(long when, Runnable then) {
    TimerQueue.Timer t = timers.add(when, then);
    if (when < armedFor) arm();
    return t;
  }

  /**
   * A turn's closes are told by tasks of their own, behind what was read: by the second hop they
   * are.
   */
  @Override
  public void afterTurn(Runnable then) {
    loop.runOnContext(v -> loop.runOnContext(w -> then.run()));
  }

  /**
   * Sets the one timer of the loop for what falls due first; dropped ones must not wake the loop.
   */
  private void arm() {
    if (ended) return;
    long next = timers.earliestTicks();
    if (next == armedFor) return;
    if (armedFor != Long.MAX_VALUE) vertx.cancelTimer(armed);
    armedFor = next;
    if (next == Long.MAX_VALUE) return;
    armed = vertx.setTimer(Math.max(1, (next - clock.now() + 9) / 10), id -> {
      look();
      armedFor = Long.MAX_VALUE;
      timers.runDue(clock.now());
      arm();
    });
  }

  /**
   * Looks whether this loop has been away (stopped, or starved of its core): its timer is overdue
   * by more than the module puts up with. Called before anything that was read meanwhile is told.
   */
  private void look() {
    long at = clock.now();
    if (armedFor != Long.MAX_VALUE
        && at - Math.max(armedFor, ranAt) > gateway.stallThresholdTicks()) {
      backAt = at;
      awayFor = at - ranAt;
      counters.add(Metric.STALLS);
      counters.add(Metric.STALLED_MS, awayFor / 10);
      if (history != null) history.add("away", "for_ms", awayFor / 10);
    }
    ranAt = at;
  }

  /**
   * For how long a command that is read now has lain unread: known, and asked for, only in the wake
   * of an absence.
   */
  private long age(RequestContext.ResponseSink client) {
    if (backAt == 0 || clock.now() - backAt > awayFor) return 0;
    long age = Math.min(client.unreadTicks(), awayFor + clock.now() - backAt);
    if (age > gateway.stallThresholdTicks()) counters.add(Metric.REQUESTS_READ_LATE);
    return age;
  }

  // ---- events

  private void add(GatewayEvent e) {
    batch.add(e);
    if (scheduled) return;
    scheduled = true;
    // guards against reqs of clients that are gone already, read along with their close
    afterTurn(this::flush);
  }

  private void flush() {
    scheduled = false;
    if (batch.isEmpty()) return;
    look();
    List<GatewayEvent> events = batch;
    batch = new ArrayList<>();
    try {
      gateway.handle(clock.now(), events);
    } catch (RuntimeException e) {
      LOG.error("the module failed", e);
      counters.add(Metric.EXCEPTIONS);
      for (GatewayEvent event : events) drop(event);
      listsInBatch.clear();
    }
    tellListed();
    arm();
  }

  private void tellListed() {
    listsInBatch.forEach(onListed::accept);
    listsInBatch.clear();
  }

  /**
   * A req that the module failed on gets its final answer here, and the module is told that it is
   * gone.
   */
  private void drop(GatewayEvent e) {
    long rid = e instanceof GatewayEvent.RequestArrived a ? a.requestId()
        : e instanceof GatewayEvent.AttemptEnded d ? d.requestId()
            : e instanceof GatewayEvent.TimerFired d ? d.timerId() : -1;
    RequestContext x = exchanges.find(rid);
    if (x != null && !x.isFinished()) abandon(x);
  }

  @Override
  public void abandon(RequestContext x) {
    told(x, "aborted");
    x.fail();
    left(x);
  }

  @Override
  public RequestContext arrived(ClientRequest req, RequestContext.ResponseSink client) {
    look();
    int frontend = frontends.find(req.requestClass);
    int plan = plans.find(req.plan);
    counters.add(Metric.REQUESTS);
    // Guards against a stranger who uses the id of a req that is out: an app srv would take it for
    // a second copy.
    if (!configuration.allows(req, frontend, plan) || exchanges.containsId(req.id)) {
      counters.add(Metric.REQUESTS_INVALID);
      client.fail();
      return null;
    }
    RequestContext x = exchanges.register(req, client);
    if (x == null) {
      counters.add(Metric.REQUESTS_OVER_MEMORY_LIMIT);
      client.reject(0);
      return null;
    }
    long age = age(client);
    if (history != null) {
      history.add("arrived", "id", req.id, "customer", Long.toHexString(req.customer), "units",
          req.units, "wait_ms", req.clientTimeoutMs, "age_ms", age / 10, "query", req.query);
    }
    add(new GatewayEvent.RequestArrived(x.requestId(), frontend, plan, req.customer,
        req.clientTimeoutMs * 10, req.units, req.nodeCount, req.firstNode, req.retry, age));
    return x;
  }

  @Override
  public void left(RequestContext x) {
    told(x, "left");
    x.clientDisconnected();
    counters.add(Metric.CLIENT_DISCONNECTS);
    add(new GatewayEvent.ClientDisconnected(x.requestId()));
    exchanges.releaseIfComplete(x);
  }

  @Override
  public void ended(RequestContext x, int dispatch, int srv, AppServerReply answer, long spent) {
    if (history != null) {
      history.add("ended", "id", x.request().id, "srv", directory.name(srv), "dispatch", dispatch,
          "how", answer.result().name());
    }
    if (answer.result() == CallResult.ANSWERED) {
      told(x, "passed");
      x.succeed(answer.value());
    }
    add(new GatewayEvent.AttemptEnded(x.requestId(), srv, dispatch, answer.result().outcome(),
        x.isFinished(), spent, answer.actualUnits(), answer.fleetUtilization(), load(answer)));
    exchanges.attemptEnded(x);
    directory.release();
  }

  /** Its one end, for the history. */
  private void told(RequestContext x, String how) {
    if (history != null && !x.isFinished())
      history.add("answered", "id", x.request().id, "how", how);
  }

  @Override
  public boolean mayBegin(RequestContext x, int dispatch) {
    flush();
    return !x.isFinished() && gateway.mayStartAttempt(clock.now(), x.requestId(), dispatch);
  }

  @Override
  public void probed(int srv, AppServerReply answer, long spent) {
    add(new GatewayEvent.HealthChecked(srv, answer.result().outcome(), spent, load(answer)));
    directory.release();
  }

  private List<Double> load(AppServerReply answer) {
    if (answer.loadReport().isEmpty()) return List.of();
    List<Double> values = new ArrayList<>();
    for (String field : configuration.loadFields())
      values.add(AppServerReply.field(answer.loadReport(), field));
    return values;
  }

  @Override
  public void counted(long name, CallResult ending, double total, long spent) {
    add(new GatewayEvent.CounterReplied(name, ending.outcome(), total, spent));
  }

  @Override
  public void listed(EndpointList list, Runnable applied) {
    lists.apply(list, () -> {
      applied.run();
      listsInBatch.add(list.index());
      if (!scheduled) tellListed(); // its last slice told the module nothing new
    });
  }

  /** Where changes come unasked the watch is this host's to renew, elsewhere the module's. */
  @Override
  public void watchEnded() {
    if (configuration.site().limits().mustOpenWatch())
      add(new GatewayEvent.EndpointsUpdated(GatewayEvent.EndpointUpdateKind.FAILED, List.of()));
    else discovery.follow();
  }

  @Override
  public void heard(int from, byte[] words) {
    if (words.length > 0 && words[0] == MembershipCodec.FIRST) {
      if (roster != null) roster.heard(from, words);
      return;
    }
    GossipMessage told = GossipCodec.decode(words);
    if (told != null) add(new GatewayEvent.GossipReceived(from, told));
  }

  @Override
  public String figures() {
    String own = counters.infoText() + "held=" + exchanges.size() + "\n";
    return roster == null ? own : own + roster.figures(gateway.gossipValidityTicks());
  }

  // ---- actions

  @Override
  public void startAttempt(long rid, long srv, long cap) {
    RequestContext x = exchanges.find(rid);
    if (x == null) return;
    int dispatch = exchanges.startAttempt(x);
    if (history != null) {
      history.add("dispatched", "id", x.request().id, "srv", directory.name((int) srv), "dispatch",
          dispatch, "cap_ms", cap / 10);
    }
    try {
      appServers.dispatch(x, dispatch, (int) srv, cap);
    } catch (RuntimeException e) {
      // Guards against a fault of this side that stops the module half-way through what it wants of
      // other reqs.
      LOG.error("dispatch failed", e);
      counters.add(Metric.EXCEPTIONS);
      ended(x, dispatch, (int) srv, AppServerReply.withoutValue(CallResult.NO_DESCRIPTOR), 0);
    }
  }

  @Override
  public void reject(long rid, long pause) {
    RequestContext x = exchanges.find(rid);
    if (x == null) return;
    told(x, "denied");
    x.reject(pause / 10);
    exchanges.releaseIfComplete(x);
  }

  @Override
  public void fail(long rid) {
    RequestContext x = exchanges.find(rid);
    if (x == null) return;
    told(x, "aborted");
    x.fail();
    exchanges.releaseIfComplete(x);
  }

  @Override
  public void cancelAttempt(long rid, int dispatch) {
    RequestContext x = exchanges.find(rid);
    if (x != null) appServers.cancel(x, dispatch);
  }

  @Override
  public void setTimer(long when, long handle) {
    at(when, () -> add(new GatewayEvent.TimerFired(handle)));
  }

  @Override
  public void checkHealth(long srv) {
    appServers.probe((int) srv, configuration.connectTime());
  }

  @Override
  public void closeIdleConnections(long srv) {
    appServers.closeIdle((int) srv);
  }

  @Override
  public void addToCounter(long name, double units, long keep, long cap) {
    if (counter == null)
      add(new GatewayEvent.CounterReplied(name, GatewayEvent.AttemptOutcome.NOT_SENT, 0, 0));
    else counter.add(name, units, keep, cap);
  }

  @Override
  public void watchEndpoints(boolean on) {
    if (on) discovery.follow();
    else discovery.stop();
  }

  @Override
  public void sendGossip(int peer, GossipMessage told) {
    if (peers != null) peers.send(peer, GossipCodec.encode(told));
  }

  @Override
  public void log(String text) {
    LOG.info(text);
    if (history != null) history.add("note", "text", text);
  }
}
