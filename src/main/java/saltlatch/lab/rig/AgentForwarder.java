package saltlatch.lab.rig;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Emulates the platform's agent on the nodes' machines. Nodes are configured with one discovery
 * address; the agent listens there and forwards each connection to one of the relays, round-robin,
 * trying the next relay if one refuses. It records the index from which each node starts a watch.
 */
public final class AgentForwarder implements AutoCloseable {
  private static final Pattern SINCE = Pattern.compile("GET /api/targets\\?follow=1&since=(\\d+)");
  private static final int TIMEOUT_S = 20; // allows for a busy machine
  private static final int BACKLOG = 4_096; // nodes that connect at the same time

  private final Vertx vertx = Vertx.vertx();
  private final NetClient client = vertx.createNetClient();
  private final Set<NetSocket> nodeSockets = ConcurrentHashMap.newKeySet();
  private final AtomicInteger nextRelay = new AtomicInteger();
  private final BlockingQueue<Long> watchIndexes = new LinkedBlockingQueue<>();
  private final NetServer server;
  private volatile List<Integer> relays;

  /** Listens on a free loopback port and forwards to relays on the given loopback ports. */
  public AgentForwarder(List<Integer> relayPorts) throws Exception {
    relays = List.copyOf(relayPorts);
    server = vertx.createNetServer(new NetServerOptions().setAcceptBacklog(BACKLOG))
        .connectHandler(this::accept).listen(0, "127.0.0.1").toCompletionStage()
        .toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Returns the discovery address for the configuration of nodes. */
  public String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  /** Returns the number of watches requested since the last {@link #cut}. */
  public int asked() {
    return watchIndexes.size();
  }

  /** Forwards new connections to these relays; open connections are kept. */
  public void forwardTo(List<Integer> relayPorts) {
    relays = List.copyOf(relayPorts);
  }

  /** Closes all connections, after which the nodes reconnect and request their watches again. */
  public void cut() {
    watchIndexes.clear();
    nodeSockets.forEach(NetSocket::close);
  }

  /**
   * Waits for the given number of watches and returns the index from which each of them starts,
   * which is the index that the node reports to hold.
   *
   * @throws IllegalStateException if the next watch is not requested within {@link #TIMEOUT_S}
   *     seconds
   */
  public List<Long> askedFrom(int count) throws InterruptedException {
    List<Long> indexes = new ArrayList<>();
    while (indexes.size() < count) {
      Long since = watchIndexes.poll(TIMEOUT_S, TimeUnit.SECONDS);
      if (since == null)
        throw new IllegalStateException("expected " + count + " watches, got " + indexes.size()
            + " and no further one within " + TIMEOUT_S + " s; their indexes: " + indexes);
      indexes.add(since);
    }
    return indexes;
  }

  private void accept(NetSocket node) {
    nodeSockets.add(node);
    node.closeHandler(closed -> nodeSockets.remove(node));
    node.pause();
    List<Integer> targets = relays;
    connect(node, targets, targets.size());
  }

  private void connect(NetSocket node, List<Integer> targets, int attemptsLeft) {
    int port = targets.get(Math.floorMod(nextRelay.getAndIncrement(), targets.size()));
    client.connect(port, "127.0.0.1").onSuccess(relay -> join(node, relay)).onFailure(e -> {
      if (attemptsLeft > 1) connect(node, targets, attemptsLeft - 1);
      else node.close();
    });
  }

  private void join(NetSocket node, NetSocket relay) {
    node.closeHandler(closed -> {
      nodeSockets.remove(node);
      relay.close();
    });
    node.handler(request -> {
      recordIndex(request);
      relay.write(request);
    });
    relay.pipeTo(node).onComplete(ended -> node.close());
    node.resume();
  }

  private void recordIndex(Buffer request) {
    Matcher since = SINCE.matcher(request.toString(StandardCharsets.ISO_8859_1));
    if (since.find()) watchIndexes.add(Long.parseLong(since.group(1)));
  }

  /** Closes everything; fails if that takes longer than {@link #TIMEOUT_S} seconds. */
  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().orTimeout(TIMEOUT_S, TimeUnit.SECONDS)
        .join();
  }
}
