package saltlatch.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A host that runs a Distributor on the simulated network and checks its limits at every action.
 */
final class ModelRelay implements ModelLink.Server, ModelLink.Client, DistributorActions {
  private static final long SECOND_MS = 1_000;
  private static final long KEEP_ALIVE_MS = 2_000;

  private record SentSnapshot(long atMs, long bytes) {}

  private final ModelFleet fleet;
  private final ModelFleet.Node node;
  private final List<ModelFleet.Node> upstreams;
  private final RelayLimits limits;
  private final Map<Long, ModelLink> watchers = new LinkedHashMap<>();
  private final Map<Long, Long> drainedAtMs = new LinkedHashMap<>();
  private final Deque<SentSnapshot> recentSnapshots = new ArrayDeque<>();
  private Distributor distributor;
  private ModelLink upstream;
  private int currentUpstream;
  private long tickAtMs = Long.MAX_VALUE;
  private int tickGeneration;
  long maxSnapshotBytesPerSecond;

  ModelRelay(ModelFleet fleet, ModelFleet.Node node, List<ModelFleet.Node> upstreams,
      RelayLimits limits) {
    this.fleet = fleet;
    this.node = node;
    this.upstreams = upstreams;
    this.limits = limits;
  }

  /** Starts or restarts the relay without any state. */
  void start(long seed) {
    watchers.clear();
    drainedAtMs.clear();
    recentSnapshots.clear();
    upstream = null;
    tickGeneration++;
    tickAtMs = Long.MAX_VALUE;
    distributor = new Distributor(limits, upstreams.size(), seed, this);
    distributor.start(now());
    scheduleTick();
  }

  void processKilled() {
    tickGeneration++;
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
    scheduleTick();
  }

  @Override
  public void drained(ModelLink link) {
    drainedAtMs.put(link.id, now());
    distributor.watcherDrained(link.id, now());
    scheduleTick();
  }

  @Override
  public void closed(ModelLink link) {
    removeWatcher(link.id);
    distributor.watcherClosed(link.id, now());
    scheduleTick();
  }

  @Override
  public void opened(ModelLink link) {
    if (link == upstream) {
      distributor.upstreamOpened(currentUpstream, now());
      scheduleTick();
    }
  }

  @Override
  public void messageReceived(ModelLink link, Message message) {
    if (link != upstream) {
      return;
    }
    if (message.kind() == Message.Kind.KEEP_ALIVE) {
      distributor.upstreamAlive(currentUpstream, now());
    } else {
      boolean snapshot = message.kind() == Message.Kind.SNAPSHOT;
      Version previous = status().version();
      distributor.upstreamUpdated(currentUpstream,
          new Update(message.version(), snapshot, message.entries()), now());
      fleet.check(status().version().compareTo(previous) >= 0,
          node + " reverted to a version older than " + previous);
    }
    scheduleTick();
  }

  @Override
  public void ended(ModelLink link, boolean malformed) {
    if (link == upstream) {
      upstream = null;
      distributor.upstreamFailed(currentUpstream,
          malformed ? Distributor.Failure.MALFORMED : Distributor.Failure.CONNECTION, now());
      scheduleTick();
    }
  }

  @Override
  public void openUpstream(int upstreamIndex, Version since) {
    fleet.check(upstream == null, node + " opens a second upstream watch");
    currentUpstream = upstreamIndex;
    upstream = fleet.open(node, upstreams.get(upstreamIndex), since);
  }

  @Override
  public void closeUpstream(int upstreamIndex, Reason reason) {
    upstream.closeByClient();
    upstream = null;
  }

  @Override
  public void send(long watcher, Message message) {
    ModelLink link = watchers.get(watcher);
    fleet.check(link.outstanding() == 0, node + " queues a second message for " + link.from);
    fleet.check(now() - drainedAtMs.getOrDefault(watcher, now()) <= KEEP_ALIVE_MS,
        node + " sent " + link.from + " nothing for more than " + KEEP_ALIVE_MS + " ms");
    if (message.kind() == Message.Kind.SNAPSHOT) {
      recordSnapshotBytes(ModelFleet.bytes(message));
    }
    fleet.countSent(message);
    link.send(message);
  }

  @Override
  public void closeWatcher(long watcher, Reason reason) {
    ModelLink link = watchers.get(watcher);
    removeWatcher(watcher);
    link.closeByServer(false);
  }

  private void removeWatcher(long watcher) {
    watchers.remove(watcher);
    drainedAtMs.remove(watcher);
  }

  private void recordSnapshotBytes(long bytes) {
    recentSnapshots.add(new SentSnapshot(now(), bytes));
    while (recentSnapshots.peek().atMs < now() - SECOND_MS) {
      recentSnapshots.poll();
    }
    long bytesInWindow = recentSnapshots.stream().mapToLong(SentSnapshot::bytes).sum();
    maxSnapshotBytesPerSecond = Math.max(maxSnapshotBytesPerSecond, bytesInWindow);
    fleet.check(bytesInWindow <= fleet.injectedFault.checkedBudget(limits) + bytes,
        node + " sent " + bytesInWindow + " bytes of snapshots within one second");
  }

  private void scheduleTick() {
    scheduleTick(now());
  }

  private void scheduleTick(long earliestMs) {
    long dueMs = Math.max(earliestMs, distributor.nextTickAtMs());
    if (dueMs == Long.MAX_VALUE || (dueMs >= tickAtMs && tickAtMs > now())) {
      return;
    }
    tickAtMs = dueMs;
    int generation = ++tickGeneration;
    fleet.simulation.schedule(dueMs - now() + fleet.injectedFault.tickDelayMs(), () -> {
      if (generation == tickGeneration && node.alive()) {
        tickAtMs = Long.MAX_VALUE;
        distributor.tick(now());
        fleet.check(distributor.nextTickAtMs() > now(),
            node + " requests another tick immediately after a tick");
        scheduleTick(now() + 1);
      }
    });
  }

  private long now() {
    return fleet.simulation.now();
  }
}
