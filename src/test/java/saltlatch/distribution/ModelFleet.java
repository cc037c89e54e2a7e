package saltlatch.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A model of a source with two discovery agents, two tiers of relays, and watchers of the second
 * tier, on a simulated network with delays and failures.
 */
final class ModelFleet {
  /** A deliberate fault of the model, which its checks must detect. */
  interface InjectedFault {
    /** Returns the message that is delivered instead of the given one. */
    default Message deliveredMessage(ModelLink link, Message message) {
      return message;
    }

    /** Returns the snapshot budget that the model checks, in bytes per second. */
    default long checkedBudget(RelayLimits limits) {
      return limits.snapshotBytesPerSecond();
    }

    /** Returns the delay of each tick, in ms. */
    default long tickDelayMs() {
      return 0;
    }

    /** Returns whether a message is reported as drained while it is still in flight. */
    default boolean drainsEarly() {
      return false;
    }
  }

  /** A simulated process. */
  static final class Node {
    private final String name;
    private final Simulation simulation;
    private boolean alive = true;
    private int incarnation;
    private long stalledUntilMs;
    private ModelLink.Server server;
    private ModelLink.Client client;

    Node(String name, Simulation simulation) {
      this.name = name;
      this.simulation = simulation;
    }

    boolean alive() {
      return alive;
    }

    int incarnation() {
      return incarnation;
    }

    /** Returns whether the process reads from its sockets. */
    boolean reads() {
      return simulation.now() >= stalledUntilMs;
    }

    ModelLink.Server server() {
      return server;
    }

    ModelLink.Client client() {
      return client;
    }

    @Override
    public String toString() {
      return name;
    }
  }

  /**
   * Sizes of a model.
   *
   * @param names        number of names that the source uses; three quarters are in the first
   *     list
   * @param paddingBytes bytes of padding in each entry
   */
  record FleetSize(int firstTierRelays, int secondTierRelays, int watchers, int names,
      int paddingBytes, RelayLimits limits) {}

  /** The list of a snapshot message, shared by all watchers that received the message. */
  record Snapshot(Map<String, Entry> entries, long checksum) {}

  private record Path(Node from, Node to) {}

  final Simulation simulation = new Simulation();
  final SplittableRandom random;
  final ModelSource source;
  final InjectedFault injectedFault;
  final long bytesPerMs;
  final Set<String> violations = new LinkedHashSet<>();
  final List<Long> applyDelaysMs = new ArrayList<>();
  final Map<Message.Kind, Long> messagesSent = new LinkedHashMap<>();
  final List<ModelAgent> agents = new ArrayList<>();
  final List<Node> agentNodes = new ArrayList<>();
  final List<Node> relayNodes = new ArrayList<>();
  final List<ModelRelay> relays = new ArrayList<>();
  final List<Node> watcherNodes = new ArrayList<>();
  final List<ModelWatcher> watchers = new ArrayList<>();
  private final IdentityHashMap<Message, Snapshot> snapshots = new IdentityHashMap<>();
  private final Map<Path, Long> cutUntilMs = new HashMap<>();
  private long linkCount;

  ModelFleet(FleetSize size, long bytesPerMs, long seed, InjectedFault injectedFault) {
    random = new SplittableRandom(seed);
    source = new ModelSource(size.names(), size.paddingBytes(), random.split());
    this.bytesPerMs = bytesPerMs;
    this.injectedFault = injectedFault;
    addAgent();
    addAgent();
    List<Node> first = addRelays("first", size.firstTierRelays(), agentNodes, size.limits());
    List<Node> second = addRelays("second", size.secondTierRelays(), first, size.limits());
    for (int number = 0; number < size.watchers(); number++) {
      addWatcher(number, second);
    }
  }

  static long bytes(Message message) {
    return 64 + message.entries().stream().mapToLong(entry -> entry.json().length() + 1).sum();
  }

  void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(simulation.now() + ": " + violation);
    }
  }

  void countSent(Message message) {
    messagesSent.merge(message.kind(), 1L, Long::sum);
  }

  void recordApplied(Version version, Message.Kind kind) {
    if (kind == Message.Kind.CHANGES) {
      applyDelaysMs.add(simulation.now() - source.createdAtMs(version));
    }
  }

  Snapshot snapshotOf(Message message) {
    return snapshots.computeIfAbsent(message, snapshot -> {
      Map<String, Entry> list = new HashMap<>();
      snapshot.entries().forEach(entry -> list.put(entry.name(), entry));
      return new Snapshot(list, list.values().stream().mapToLong(ModelSource::checksum).sum());
    });
  }

  ModelLink open(Node from, Node to, Version since) {
    ModelLink link = new ModelLink(this, from, to, ++linkCount, random.nextLong(1, 30));
    link.open(since);
    return link;
  }

  boolean connected(Node from, Node to) {
    return simulation.now() >= cutUntilMs.getOrDefault(new Path(from, to), 0L);
  }

  void cut(Node from, Node to, long durationMs) {
    cutUntilMs.put(new Path(from, to), simulation.now() + durationMs);
  }

  void stall(Node node, long durationMs) {
    node.stalledUntilMs = simulation.now() + durationMs;
  }

  void freeze(int agent, long durationMs) {
    agents.get(agent).setFrozen(true);
    simulation.schedule(durationMs, () -> agents.get(agent).setFrozen(false));
  }

  void killRelay(int relay, long durationMs) {
    if (kill(relayNodes.get(relay))) {
      relays.get(relay).processKilled();
      simulation.schedule(durationMs, () -> {
        relayNodes.get(relay).alive = true;
        relays.get(relay).start(random.nextLong());
      });
    }
  }

  void killWatcher(int watcher, long durationMs) {
    if (kill(watcherNodes.get(watcher))) {
      watchers.get(watcher).processKilled();
      simulation.schedule(durationMs, () -> {
        watcherNodes.get(watcher).alive = true;
        watchers.get(watcher).start();
      });
    }
  }

  /** Returns whether all relays and watchers have the version of the source. */
  boolean converged() {
    return relays.stream().allMatch(relay -> relay.status().version().equals(source.version()))
        && watchersConverged();
  }

  boolean watchersConverged() {
    return watchers.stream().allMatch(watcher -> watcher.version().equals(source.version()));
  }

  private boolean kill(Node node) {
    boolean wasAlive = node.alive;
    node.alive = false;
    node.incarnation += wasAlive ? 1 : 0;
    return wasAlive;
  }

  private void addAgent() {
    ModelAgent agent = new ModelAgent(simulation);
    Node node = new Node("agent" + agents.size(), simulation);
    node.server = agent;
    source.add(agent);
    agents.add(agent);
    agentNodes.add(node);
  }

  private List<Node> addRelays(String tier, int count, List<Node> upstreamNodes,
      RelayLimits limits) {
    List<Node> nodes = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      Node node = new Node(tier + number, simulation);
      int preferred = number % upstreamNodes.size();
      List<Node> upstreams = new ArrayList<>(
          upstreamNodes.subList(preferred, upstreamNodes.size()));
      upstreams.addAll(upstreamNodes.subList(0, preferred));
      ModelRelay relay = new ModelRelay(this, node, upstreams, limits);
      node.server = relay;
      node.client = relay;
      nodes.add(node);
      relays.add(relay);
      long seed = random.nextLong();
      simulation.schedule(0, () -> relay.start(seed));
    }
    relayNodes.addAll(nodes);
    return nodes;
  }

  private void addWatcher(int number, List<Node> upstreamNodes) {
    Node node = new Node("watcher" + number, simulation);
    ModelWatcher watcher = new ModelWatcher(this, node, upstreamNodes, number);
    node.client = watcher;
    watcherNodes.add(node);
    watchers.add(watcher);
    simulation.schedule(1, watcher::start);
  }
}
