package saltlatch.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A host around a Distributor on the model's network, which holds it to its bounds at every action.
 */
final class ModelRelay implements ModelLink.Server, ModelLink.Client, DistributorActions {
  private static final long SECOND = 1_000;
  private static final long KEEP_ALIVE_MS = 2_000;

  private record Spent(long at, long bytes) {}

  private final ModelFleet fleet;
  private final ModelFleet.Node node;
  private final List<ModelFleet.Node> above;
  private final RelayLimits limits;
  private final Map<Long, ModelLink> watchers = new LinkedHashMap<>();
  private final Map<Long, Long> takenAt = new LinkedHashMap<>();
  private final Deque<Spent> spent = new ArrayDeque<>();
  private Distributor distributor;
  private ModelLink upstream;
  private int upstreamNumber;
  private long tickAt = Long.MAX_VALUE;
  private int ticks;
  long mostSnapshotBytesInASecond;

  ModelRelay(ModelFleet fleet, ModelFleet.Node node, List<ModelFleet.Node> above,
      RelayLimits limits) {
    this.fleet = fleet;
    this.node = node;
    this.above = above;
    this.limits = limits;
  }

  /** Starts anew, with nothing. */
  void start(long seed) {
    watchers.clear();
    takenAt.clear();
    spent.clear();
    upstream = null;
    ticks++;
    tickAt = Long.MAX_VALUE;
    distributor = new Distributor(limits, above.size(), seed, this);
    distributor.start(now());
    next();
  }

  void processKilled() {
    ticks++;
    watchers.values().forEach(ModelLink::breakOff);
    if (upstream != null) {
      upstream.breakOff();
    }
  }

  RelayStatus status() {
    return distributor.status(now());
  }

  @Override
  public void accept(ModelLink link, Version since) {
    watchers.put(link.id, link);
    distributor.watcherOpened(link.id, since, now());
    next();
  }

  @Override
  public void drained(ModelLink link) {
    takenAt.put(link.id, now());
    distributor.watcherDrained(link.id, now());
    next();
  }

  @Override
  public void closed(ModelLink link) {
    forget(link.id);
    distributor.watcherClosed(link.id, now());
    next();
  }

  @Override
  public void opened(ModelLink link) {
    if (link == upstream) {
      distributor.upstreamOpened(upstreamNumber, now());
      next();
    }
  }

  @Override
  public void messageReceived(ModelLink link, Message message) {
    if (link != upstream) {
      return;
    }
    if (message.kind() == Message.Kind.KEEP_ALIVE) {
      distributor.upstreamAlive(upstreamNumber, now());
    } else {
      boolean whole = message.kind() == Message.Kind.SNAPSHOT;
      Version before = status().version();
      distributor.upstreamUpdated(upstreamNumber,
          new Update(message.version(), whole, message.entries()), now());
      fleet.check(status().version().compareTo(before) >= 0, node + " went back from " + before);
    }
    next();
  }

  @Override
  public void ended(ModelLink link, boolean malformed) {
    if (link == upstream) {
      upstream = null;
      distributor.upstreamFailed(upstreamNumber,
          malformed ? Distributor.Failure.MALFORMED : Distributor.Failure.CONNECTION, now());
      next();
    }
  }

  @Override
  public void openUpstream(int number, Version since) {
    fleet.check(upstream == null, node + " opens a second upstream");
    upstreamNumber = number;
    upstream = fleet.open(node, above.get(number), since);
  }

  @Override
  public void closeUpstream(int number, Reason reason) {
    upstream.closeByClient();
    upstream = null;
  }

  @Override
  public void send(long watcher, Message message) {
    ModelLink link = watchers.get(watcher);
    fleet.check(link.outstanding() == 0, node + " queues a second message for " + link.from);
    fleet.check(now() - takenAt.getOrDefault(watcher, now()) <= KEEP_ALIVE_MS,
        node + " left " + link.from + " unaware");
    if (message.kind() == Message.Kind.SNAPSHOT) {
      spend(ModelFleet.bytes(message));
    }
    fleet.sent(message);
    link.send(message);
  }

  @Override
  public void closeWatcher(long watcher, Reason reason) {
    ModelLink link = watchers.get(watcher);
    forget(watcher);
    link.closeByServer(false);
  }

  private void forget(long watcher) {
    watchers.remove(watcher);
    takenAt.remove(watcher);
  }

  private void spend(long bytes) {
    spent.add(new Spent(now(), bytes));
    while (spent.peek().at < now() - SECOND) {
      spent.poll();
    }
    long inASecond = spent.stream().mapToLong(Spent::bytes).sum();
    mostSnapshotBytesInASecond = Math.max(mostSnapshotBytesInASecond, inASecond);
    fleet.check(inASecond <= fleet.injectedFault.budget(limits) + bytes,
        node + " sent " + inASecond + " bytes of lists in a second");
  }

  private void next() {
    next(now());
  }

  private void next(long earliest) {
    long due = Math.max(earliest, distributor.nextTickAtMs());
    if (due == Long.MAX_VALUE || (due >= tickAt && tickAt > now())) {
      return;
    }
    tickAt = due;
    int tick = ++ticks;
    fleet.simulation.after(due - now() + fleet.injectedFault.ticksLate(), () -> {
      if (tick == ticks && node.alive()) {
        tickAt = Long.MAX_VALUE;
        distributor.tick(now());
        fleet.check(distributor.nextTickAtMs() > now(), node + " wants a tick that does nothing");
        next(now() + 1);
      }
    });
  }

  private long now() {
    return fleet.simulation.now();
  }
}
