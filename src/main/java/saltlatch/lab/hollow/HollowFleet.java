package saltlatch.lab.hollow;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import saltlatch.api.GatewayPolicy;
import saltlatch.lab.rig.Processes;
import saltlatch.node.HollowNode;
import saltlatch.node.NodeConfiguration;
import saltlatch.node.NodeConfigurationReader;

/**
 * Hollow nodes of one process: the control part of many edge nodes on a few event loops, with no
 * data path.
 */
public final class HollowFleet implements AutoCloseable {
  private static final int STOP_S = 30; // seconds

  /**
   * That a node has applied the list or change of that index; {@code atNanos} by
   * {@link System#nanoTime}.
   */
  public record Applied(String node, long index, long atNanos) {}

  /**
   * How far the nodes are: those with a list, the index that all of them have, the highest, entries
   * of all of them.
   */
  public record Progress(int nodes, int withList, long leastIndex, long newestIndex,
      long entries) {}

  /**
   * Datagrams that all nodes together have sent and read; none where they do not know each other.
   */
  public record Datagrams(long out, long in) {}

  private final Vertx vertx;
  private final boolean membership;
  private final List<HollowNode> nodes = new ArrayList<>();
  private final Queue<Applied> applied = new ConcurrentLinkedQueue<>();

  /**
   * Deploys the nodes, each on its own context of one of {@code loops} event loops; none starts
   * yet.
   */
  public HollowFleet(int loops, List<NodeConfig> configs) throws Exception {
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(loops).setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1).setPreferNativeTransport(true)
        .setBlockedThreadCheckInterval(TimeUnit.HOURS.toMillis(1)));
    membership = configs.stream().anyMatch(NodeConfig::membership);
    for (NodeConfig config : configs) {
      Host host = new Host(config);
      vertx.deployVerticle(host).await();
      nodes.add(host.node);
    }
  }

  /** Owns the context that a node lives on. */
  private final class Host extends VerticleBase {
    private final String name;
    private final NodeConfiguration configuration;
    private HollowNode node;

    Host(NodeConfig config) {
      name = NodeConfig.name(config.number());
      configuration = NodeConfigurationReader.read(config.json());
    }

    @Override
    public Future<?> start() {
      node = new HollowNode(vertx, context, configuration);
      node.onListApplied(index -> applied.add(new Applied(name, index, System.nanoTime())));
      return Future.succeededFuture();
    }
  }

  /** Starts all of them, one after the other over so many seconds; 0: at once. Returns at once. */
  public void start(GatewayPolicy.Factory maker, double overSeconds) {
    for (int i = 0; i < nodes.size(); i++) {
      HollowNode node = nodes.get(i);
      long afterMs = Math.round(overSeconds * 1000 * i / nodes.size());
      if (afterMs == 0) node.start(maker);
      else vertx.setTimer(afterMs, timer -> node.start(maker));
    }
  }

  /** The next that was applied and not taken yet; null: none. */
  public Applied poll() {
    return applied.poll();
  }

  /** May be read on any thread. */
  public Progress progress() {
    int withList = 0;
    long least = Long.MAX_VALUE;
    long newest = -1;
    long entries = 0;
    for (HollowNode node : nodes) {
      long index = node.listIndex();
      least = Math.min(least, index);
      newest = Math.max(newest, index);
      entries += node.listedServerCount();
      if (index > 0) withList++;
    }
    return new Progress(nodes.size(), withList, least, newest, entries);
  }

  /** The nodes' {@code INFO} counters, summed; called off their event loops. */
  public Map<String, Long> counters() {
    Map<String, Long> sum = new TreeMap<>();
    for (HollowNode node : nodes) {
      Processes.counters(node.infoText())
          .forEach((name, value) -> sum.merge(name, value, Long::sum));
    }
    return sum;
  }

  /** Called off the event loops; asks each node where they know each other. */
  public Datagrams datagrams() {
    if (!membership) return new Datagrams(0, 0);
    Map<String, Long> sum = counters();
    return new Datagrams(sum.getOrDefault("peers_told", 0L), sum.getOrDefault("peers_heard", 0L));
  }

  /** Ends all of them. */
  @Override
  public void close() {
    nodes.forEach(HollowNode::stop);
    vertx.close().toCompletionStage().toCompletableFuture().orTimeout(STOP_S, TimeUnit.SECONDS)
        .join();
  }
}
