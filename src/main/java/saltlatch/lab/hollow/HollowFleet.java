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
 * Runs the hollow nodes of one process: the control part of many edge nodes, without their data
 * path, on a few event loops.
 */
public final class HollowFleet implements AutoCloseable {
  private static final int STOP_TIMEOUT_SECONDS = 30;

  /**
   * Reports that a node applied the list or change with this index; {@code atNanos} is a reading
   * of {@link System#nanoTime}.
   */
  public record Applied(String node, long index, long atNanos) {}

  /**
   * Describes how far the nodes have applied the endpoint list.
   *
   * @param nodes       nodes of this process
   * @param withList    nodes that have received a list
   * @param leastIndex  lowest index of any node, which all nodes have reached
   * @param newestIndex highest index of any node
   * @param entries     list entries of all nodes, summed
   */
  public record Progress(int nodes, int withList, long leastIndex, long newestIndex,
      long entries) {}

  /**
   * Datagrams that all nodes together have sent and received; 0 if membership is off.
   */
  public record Datagrams(long out, long in) {}

  private final Vertx vertx;
  private final boolean membership;
  private final List<HollowNode> nodes = new ArrayList<>();
  private final Queue<Applied> applied = new ConcurrentLinkedQueue<>();

  /**
   * Deploys the nodes on {@code loops} event loops, each node with a separate context, without
   * starting them.
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

  /** A verticle that provides the context of one node. */
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

  /**
   * Starts the nodes evenly spread over {@code overSeconds}, or all immediately if it is 0. Returns
   * before they have started.
   */
  public void start(GatewayPolicy.Factory policyFactory, double overSeconds) {
    for (int i = 0; i < nodes.size(); i++) {
      HollowNode node = nodes.get(i);
      long delayMs = Math.round(overSeconds * 1000 * i / nodes.size());
      if (delayMs == 0) node.start(policyFactory);
      else vertx.setTimer(delayMs, timer -> node.start(policyFactory));
    }
  }

  /** Removes and returns the oldest unread report, or returns null if there is none. */
  public Applied poll() {
    return applied.poll();
  }

  /** Returns the current state of all nodes; can be called from any thread. */
  public Progress progress() {
    int withList = 0;
    long lowestIndex = Long.MAX_VALUE;
    long highestIndex = -1;
    long entries = 0;
    for (HollowNode node : nodes) {
      long index = node.listIndex();
      lowestIndex = Math.min(lowestIndex, index);
      highestIndex = Math.max(highestIndex, index);
      entries += node.listedServerCount();
      if (index > 0) withList++;
    }
    return new Progress(nodes.size(), withList, lowestIndex, highestIndex, entries);
  }

  /** Returns the sums of the nodes' {@code INFO} counters; must not be called on an event loop. */
  public Map<String, Long> counters() {
    Map<String, Long> sums = new TreeMap<>();
    for (HollowNode node : nodes) {
      Processes.counters(node.infoText())
          .forEach((name, value) -> sums.merge(name, value, Long::sum));
    }
    return sums;
  }

  /**
   * Returns the datagram counts, which are read from each node if membership is on; must not be
   * called on an event loop.
   */
  public Datagrams datagrams() {
    if (!membership) return new Datagrams(0, 0);
    Map<String, Long> sums = counters();
    return new Datagrams(sums.getOrDefault("peers_told", 0L), sums.getOrDefault("peers_heard", 0L));
  }

  /** Stops all nodes and closes their event loops. */
  @Override
  public void close() {
    nodes.forEach(HollowNode::stop);
    vertx.close().toCompletionStage().toCompletableFuture()
        .orTimeout(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }
}
