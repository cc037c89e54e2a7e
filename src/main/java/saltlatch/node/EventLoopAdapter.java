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
import saltlatch.state.Counters;
import saltlatch.state.Counters.Count;
import saltlatch.state.Exchange;
import saltlatch.state.Exchanges;
import saltlatch.state.Names;
import saltlatch.state.Timers;
import saltlatch.wire.Answer;
import saltlatch.wire.AppServers;
import saltlatch.wire.ClientListener;
import saltlatch.wire.CounterClient;
import saltlatch.wire.Discovery;
import saltlatch.wire.Ending;
import saltlatch.wire.MemberForm;
import saltlatch.wire.Peers;
import saltlatch.wire.Request;
import saltlatch.wire.Scheduler;
import saltlatch.wire.SumsForm;
import saltlatch.wire.TargetList;

/**
 * Makes the module's events of what the sockets bring, and does what the module wants. All of it runs on one event
 * loop: what one turn of the loop brings goes to the module in one batch. It decides nothing.
 */
final class Pilot
    implements
      GatewayActions,
      Scheduler,
      ClientListener.Host,
      AppServers.Host,
      CounterClient.Host,
      Discovery.Host,
      Peers.Host {
  private static final Logger LOG = LoggerFactory.getLogger(Pilot.class);

  private final Vertx vertx;
  private final Context loop;
  private final NodeConfiguration configuration;
  private final Counters counters;
  private final Clock clock = new Clock();
  private final Timers timers = new Timers();
  private final Exchanges exchanges;
  private final Names frontends;
  private final Names plans;
  private final Names zones;
  private final Names types;
  private List<GatewayEvent> batch = new ArrayList<>();
  private boolean scheduled;
  private long armedFor = Long.MAX_VALUE;
  private long armed;
  private long ranAt; // this loop was seen running then
  private long backAt; // it was away until then; 0: never
  private long awayFor;
  private final History history; // null: none is kept, and none of its classes are loaded
  private GatewayPolicy gateway;
  private AppServers appServers;
  private TargetDirectory directory;
  private ListApplier lists;
  private LongConsumer onListed = index -> {};
  private final List<Long> listsInBatch = new ArrayList<>(); // indices of those that the batch completes
  private boolean ended;
  private CounterClient counter;
  private Discovery discovery;
  private Peers peers;
  private Roster roster; // null: nodes do not know each other, and none of membership's classes are loaded

  Pilot(Vertx vertx, Context loop, NodeConfiguration configuration, Counters counters, long mostBytes,
      History history) {
    this.history = history;
    this.vertx = vertx;
    this.loop = loop;
    this.configuration = configuration;
    this.counters = counters;
    exchanges = new Exchanges(mostBytes);
    frontends = new Names(configuration.frontends());
    plans = new Names(configuration.plans());
    zones = new Names(configuration.zones());
    types = new Names(configuration.types());
  }

  /** Starts the module on the list last known; the sockets of the client side open as they are needed. */
  void start(GatewayPolicy.Factory maker) {
    ranAt = clock.now();
    appServers = new AppServers(vertx, this, this, counters, configuration.connectTime(),
        configuration.idleTime(), configuration.appSrvLinks());
    directory = new TargetDirectory(appServers, zones, types);
    lists = new ListApplier(directory, this, this::add);
    if (configuration.counter() != null) {
      counter = new CounterClient(vertx, configuration.counter(), this, this, counters,
          configuration.countLimit());
    }
    discovery = new Discovery(vertx, configuration.discovery(), this, this, counters, configuration.known());
    if (configuration.mayTell() && configuration.peerListen() != null) {
      peers = new Peers(vertx, configuration.peerListen(), configuration.peers(), configuration.peersAll(),
          this, counters);
    }
    gateway = maker.create(clock.now(), configuration.site(), this);
    listsInBatch.add(configuration.known().index());
    add(directory.take(configuration.known(), GatewayEvent.EndpointUpdateKind.CACHED_SNAPSHOT));
    if (configuration.membership()) roster = new Roster(this, peers, history, configuration, this::add);
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

  /** Ends the watch and the timers, where the loop lives on (the laboratory's nodes share theirs). */
  void end() {
    leave();
    ended = true;
    if (armedFor != Long.MAX_VALUE) vertx.cancelTimer(armed);
  }

  /** Once the node serves; where changes must be asked for, the module does. */
  void watchEndpoints() {
    if (!configuration.site().limits().mustOpenWatch()) discovery.follow();
  }

  /** Takes over what a configuration read anew names: discovery and the counter. The rest holds from the start. */
  void move(NodeConfiguration to) {
    counters.add(Count.RELOADS);
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
  public Timers.Timer at(long when, Runnable then) {
    Timers.Timer t = timers.add(when, then);
    if (when < armedFor) arm();
    return t;
  }

  /** A turn's closes are told by tasks of their own, behind what was read: by the second hop they are. */
  @Override
  public void afterTurn(Runnable then) {
    loop.runOnContext(v -> loop.runOnContext(w -> then.run()));
  }

  /** Sets the one timer of the loop for what falls due first; dropped ones must not wake the loop. */
  private void arm() {
    if (ended) return;
    long next = timers.earliest();
    if (next == armedFor) return;
    if (armedFor != Long.MAX_VALUE) vertx.cancelTimer(armed);
    armedFor = next;
    if (next == Long.MAX_VALUE) return;
    armed = vertx.setTimer(Math.max(1, (next - clock.now() + 9) / 10), id -> {
      look();
      armedFor = Long.MAX_VALUE;
      timers.run(clock.now());
      arm();
    });
  }

  /**
   * Looks whether this loop has been away (stopped, or starved of its core): its timer is overdue by more than the module
   * puts up with. Called before anything that was read meanwhile is told.
   */
  private void look() {
    long at = clock.now();
    if (armedFor != Long.MAX_VALUE && at - Math.max(armedFor, ranAt) > gateway.stallThresholdTicks()) {
      backAt = at;
      awayFor = at - ranAt;
      counters.add(Count.AWAY);
      counters.add(Count.AWAY_MS, awayFor / 10);
      if (history != null) history.add("away", "for_ms", awayFor / 10);
    }
    ranAt = at;
  }

  /** For how long a command that is read now has lain unread: known, and asked for, only in the wake of an absence. */
  private long age(Exchange.Client client) {
    if (backAt == 0 || clock.now() - backAt > awayFor) return 0;
    long age = Math.min(client.unreadFor(), awayFor + clock.now() - backAt);
    if (age > gateway.stallThresholdTicks()) counters.add(Count.READ_LATE);
    return age;
  }

  // ---- events

  private void add(GatewayEvent e) {
    batch.add(e);
    if (scheduled) return;
    scheduled = true;
    afterTurn(this::flush); // guards against reqs of clients that are gone already, read along with their close
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
      counters.add(Count.EXCEPTIONS);
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

  /** A req that the module failed on gets its final answer here, and the module is told that it is gone. */
  private void drop(GatewayEvent e) {
    long rid = e instanceof GatewayEvent.RequestArrived a ? a.requestId()
        : e instanceof GatewayEvent.AttemptEnded d ? d.requestId()
            : e instanceof GatewayEvent.TimerFired d ? d.timerId() : -1;
    Exchange x = exchanges.find(rid);
    if (x != null && !x.over()) abandon(x);
  }

  @Override
  public void abandon(Exchange x) {
    told(x, "aborted");
    x.aborted();
    left(x);
  }

  @Override
  public Exchange arrived(Request req, Exchange.Client client) {
    look();
    int frontend = frontends.find(req.frontend);
    int plan = plans.find(req.plan);
    counters.add(Count.REQS);
    // Guards against a stranger who uses the id of a req that is out: an app srv would take it for a second copy.
    if (!configuration.allows(req, frontend, plan) || exchanges.holds(req.id)) {
      counters.add(Count.REQS_UNKNOWN);
      client.aborted();
      return null;
    }
    Exchange x = exchanges.open(req, client);
    if (x == null) {
      counters.add(Count.REQS_OVER_LIMIT);
      client.denied(0);
      return null;
    }
    long age = age(client);
    if (history != null) {
      history.add("arrived", "id", req.id, "customer", Long.toHexString(req.customer), "units", req.units,
          "wait_ms", req.waitMs, "age_ms", age / 10, "query", req.query);
    }
    add(new GatewayEvent.RequestArrived(x.rid, frontend, plan, req.customer, req.waitMs * 10, req.units,
        req.width, req.first, req.repeat, age));
    return x;
  }

  @Override
  public void left(Exchange x) {
    told(x, "left");
    x.left();
    counters.add(Count.CLIENTS_LEFT);
    add(new GatewayEvent.ClientDisconnected(x.rid));
    exchanges.release(x);
  }

  @Override
  public void ended(Exchange x, int dispatch, int srv, Answer answer, long spent) {
    if (history != null) {
      history.add("ended", "id", x.req.id, "srv", directory.name(srv), "dispatch", dispatch, "how",
          answer.ending().name());
    }
    if (answer.ending() == Ending.ANSWERED) {
      told(x, "passed");
      x.passed(answer.value());
    }
    add(new GatewayEvent.AttemptEnded(x.rid, srv, dispatch, answer.ending().outcome(), x.over(), spent,
        answer.actual(), answer.fleetUse(), load(answer)));
    exchanges.ended(x);
    directory.release();
  }

  /** Its one end, for the history. */
  private void told(Exchange x, String how) {
    if (history != null && !x.over()) history.add("answered", "id", x.req.id, "how", how);
  }

  @Override
  public boolean mayBegin(Exchange x, int dispatch) {
    flush();
    return !x.over() && gateway.mayStartAttempt(clock.now(), x.rid, dispatch);
  }

  @Override
  public void probed(int srv, Answer answer, long spent) {
    add(new GatewayEvent.HealthChecked(srv, answer.ending().outcome(), spent, load(answer)));
    directory.release();
  }

  private List<Double> load(Answer answer) {
    if (answer.load().isEmpty()) return List.of();
    List<Double> values = new ArrayList<>();
    for (String field : configuration.loadFields()) values.add(Answer.field(answer.load(), field));
    return values;
  }

  @Override
  public void counted(long name, Ending ending, double total, long spent) {
    add(new GatewayEvent.CounterReplied(name, ending.outcome(), total, spent));
  }

  @Override
  public void listed(TargetList list, Runnable applied) {
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
    if (words.length > 0 && words[0] == MemberForm.FIRST) {
      if (roster != null) roster.heard(from, words);
      return;
    }
    GossipMessage told = SumsForm.read(words);
    if (told != null) add(new GatewayEvent.GossipReceived(from, told));
  }

  @Override
  public String figures() {
    String own = counters.text() + "held=" + exchanges.size() + "\n";
    return roster == null ? own : own + roster.figures(gateway.gossipValidityTicks());
  }

  // ---- actions

  @Override
  public void startAttempt(long rid, long srv, long cap) {
    Exchange x = exchanges.find(rid);
    if (x == null) return;
    int dispatch = exchanges.begin(x);
    if (history != null) {
      history.add("dispatched", "id", x.req.id, "srv", directory.name((int) srv), "dispatch", dispatch,
          "cap_ms", cap / 10);
    }
    try {
      appServers.dispatch(x, dispatch, (int) srv, cap);
    } catch (RuntimeException e) {
      // Guards against a fault of this side that stops the module half-way through what it wants of other reqs.
      LOG.error("dispatch failed", e);
      counters.add(Count.EXCEPTIONS);
      ended(x, dispatch, (int) srv, Answer.none(Ending.NO_DESCRIPTOR), 0);
    }
  }

  @Override
  public void reject(long rid, long pause) {
    Exchange x = exchanges.find(rid);
    if (x == null) return;
    told(x, "denied");
    x.denied(pause / 10);
    exchanges.release(x);
  }

  @Override
  public void fail(long rid) {
    Exchange x = exchanges.find(rid);
    if (x == null) return;
    told(x, "aborted");
    x.aborted();
    exchanges.release(x);
  }

  @Override
  public void cancelAttempt(long rid, int dispatch) {
    Exchange x = exchanges.find(rid);
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
    if (peers != null) peers.tell(peer, SumsForm.write(told));
  }

  @Override
  public void log(String text) {
    LOG.info(text);
    if (history != null) history.add("note", "text", text);
  }
}
