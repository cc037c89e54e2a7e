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
 * A source with two agents, two tiers of relays and watchers of the second, over a network that
 * delays and breaks.
 */
final class ModelFleet {
  /** What a fault planted in the model alters. */
  interface InjectedFault {
    /** What is delivered in place of a message. */
    default Message onTheWay(ModelLink link, Message message) {
      return message;
    }

    /** The budget that a relay is held to. */
    default long budget(RelayLimits limits) {
      return limits.snapshotBytesPerSecond();
    }

    /** By how much ticks are late, ms. */
    default long ticksLate() {
      return 0;
    }

    /** Whether a message is reported as taken while it is still on the way. */
    default boolean drainsEarly() {
      return false;
    }
  }

  /** A process. */
  static final class Node {
    private final String name;
    private final Simulation simulation;
    private boolean alive = true;
    private int life;
    private long stalledUntil;
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
      return life;
    }

    /** Whether it takes what is sent to it. */
    boolean reads() {
      return simulation.now() >= stalledUntil;
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

  /** Sizes of a model. */
  record FleetSize(int first, int second, int watchers, int names, int fill, RelayLimits limits) {}

  /** A whole list as all who got the same message hold it. */
  record Snapshot(Map<String, Entry> entries, long checksum) {}

  private record Path(Node one, Node other) {}

  final Simulation simulation = new Simulation();
  final SplittableRandom random;
  final ModelSource source;
  final InjectedFault injectedFault;
  final long bytesPerMs;
  final Set<String> violations = new LinkedHashSet<>();
  final List<Long> applyDelaysMs = new ArrayList<>();
  final Map<Message.Kind, Long> messages = new LinkedHashMap<>();
  final List<ModelAgent> agents = new ArrayList<>();
  final List<Node> agentNodes = new ArrayList<>();
  final List<Node> relayNodes = new ArrayList<>();
  final List<ModelRelay> relays = new ArrayList<>();
  final List<Node> watcherNodes = new ArrayList<>();
  final List<ModelWatcher> watchers = new ArrayList<>();
  private final IdentityHashMap<Message, Snapshot> lists = new IdentityHashMap<>();
  private final Map<Path, Long> cutUntil = new HashMap<>();
  private long links;

  ModelFleet(FleetSize shape, long bytesPerMs, long seed, InjectedFault injectedFault) {
    random = new SplittableRandom(seed);
    source = new ModelSource(shape.names(), shape.fill(), random.split());
    this.bytesPerMs = bytesPerMs;
    this.injectedFault = injectedFault;
    addAgent();
    addAgent();
    List<Node> first = addRelays("first", shape.first(), agentNodes, shape.limits());
    List<Node> second = addRelays("second", shape.second(), first, shape.limits());
    for (int number = 0; number < shape.watchers(); number++) {
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

  void sent(Message message) {
    messages.merge(message.kind(), 1L, Long::sum);
  }

  void recordApplied(Version version, Message.Kind kind) {
    if (kind == Message.Kind.CHANGES) {
      applyDelaysMs.add(simulation.now() - source.time(version));
    }
  }

  Snapshot listOf(Message message) {
    return lists.computeIfAbsent(message, whole -> {
      Map<String, Entry> list = new HashMap<>();
      whole.entries().forEach(entry -> list.put(entry.name(), entry));
      return new Snapshot(list, list.values().stream().mapToLong(ModelSource::checksum).sum());
    });
  }

  ModelLink open(Node from, Node to, Version since) {
    ModelLink link = new ModelLink(this, from, to, ++links, random.nextLong(1, 30));
    link.open(since);
    return link;
  }

  boolean connected(Node from, Node to) {
    return simulation.now() >= cutUntil.getOrDefault(new Path(from, to), 0L);
  }

  void cut(Node from, Node to, long duration) {
    cutUntil.put(new Path(from, to), simulation.now() + duration);
  }

  void stall(Node node, long duration) {
    node.stalledUntil = simulation.now() + duration;
  }

  void freeze(int agent, long duration) {
    agents.get(agent).freeze(true);
    simulation.after(duration, () -> agents.get(agent).freeze(false));
  }

  void killRelay(int relay, long duration) {
    if (kill(relayNodes.get(relay))) {
      relays.get(relay).processKilled();
      simulation.after(duration, () -> {
        relayNodes.get(relay).alive = true;
        relays.get(relay).start(random.nextLong());
      });
    }
  }

  void killWatcher(int watcher, long duration) {
    if (kill(watcherNodes.get(watcher))) {
      watchers.get(watcher).processKilled();
      simulation.after(duration, () -> {
        watcherNodes.get(watcher).alive = true;
        watchers.get(watcher).start();
      });
    }
  }

  /** Whether all relays and watchers have the source's version. */
  boolean converged() {
    return relays.stream().allMatch(relay -> relay.status().version().equals(source.version()))
        && watchersConverged();
  }

  boolean watchersConverged() {
    return watchers.stream().allMatch(watcher -> watcher.version().equals(source.version()));
  }

  private boolean kill(Node node) {
    boolean was = node.alive;
    node.alive = false;
    node.life += was ? 1 : 0;
    return was;
  }

  private void addAgent() {
    ModelAgent agent = new ModelAgent(simulation);
    Node node = new Node("agent" + agents.size(), simulation);
    node.server = agent;
    source.add(agent);
    agents.add(agent);
    agentNodes.add(node);
  }

  private List<Node> addRelays(String tier, int count, List<Node> above, RelayLimits limits) {
    List<Node> nodes = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      Node node = new Node(tier + number, simulation);
      List<Node> order = new ArrayList<>(above.subList(number % above.size(), above.size()));
      order.addAll(above.subList(0, number % above.size()));
      ModelRelay relay = new ModelRelay(this, node, order, limits);
      node.server = relay;
      node.client = relay;
      nodes.add(node);
      relays.add(relay);
      long seed = random.nextLong();
      simulation.after(0, () -> relay.start(seed));
    }
    relayNodes.addAll(nodes);
    return nodes;
  }

  private void addWatcher(int number, List<Node> above) {
    Node node = new Node("watcher" + number, simulation);
    ModelWatcher watcher = new ModelWatcher(this, node, above, number);
    node.client = watcher;
    watcherNodes.add(node);
    watchers.add(watcher);
    simulation.after(1, watcher::start);
  }
}
