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
 * Stands for the platform's agent on the nodes' machines: nodes have one address of discovery, and
 * what listens there passes each connection on to one of the relays that take it, in turn. It reads
 * along from which index each node asks.
 */
public final class AgentForwarder implements AutoCloseable {
  private static final Pattern SINCE = Pattern.compile("GET /api/targets\\?follow=1&since=(\\d+)");
  private static final int WAIT_S = 20; // a busy machine
  private static final int BACKLOG = 4_096; // nodes that connect at once

  private final Vertx vertx = Vertx.vertx();
  private final NetClient client = vertx.createNetClient();
  private final Set<NetSocket> nodes = ConcurrentHashMap.newKeySet();
  private final AtomicInteger turn = new AtomicInteger();
  private final BlockingQueue<Long> asked = new LinkedBlockingQueue<>();
  private final NetServer server;
  private volatile List<Integer> relays;

  /** Listens on a free port of loopback; the relays' ports are of loopback as well. */
  public AgentForwarder(List<Integer> relayPorts) throws Exception {
    relays = List.copyOf(relayPorts);
    server = vertx.createNetServer(new NetServerOptions().setAcceptBacklog(BACKLOG))
        .connectHandler(this::accept).listen(0, "127.0.0.1").toCompletionStage()
        .toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
  }

  /** What nodes have as their discovery. */
  public String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  /** Watches asked for since the last {@link #cut}. */
  public int asked() {
    return asked.size();
  }

  /** Passes connections on to these from now on; those that are open stay. */
  public void forwardTo(List<Integer> relayPorts) {
    relays = List.copyOf(relayPorts);
  }

  /** Ends all connections; the nodes ask anew. */
  public void cut() {
    asked.clear();
    nodes.forEach(NetSocket::close);
  }

  /**
   * The indexes that the next so many watches are asked from: what each node holds, in its own
   * words.
   */
  public List<Long> askedFrom(int count) throws InterruptedException {
    List<Long> all = new ArrayList<>();
    while (all.size() < count) {
      Long since = asked.poll(WAIT_S, TimeUnit.SECONDS);
      if (since == null)
        throw new IllegalStateException(all.size() + " of " + count + " asked anew: " + all);
      all.add(since);
    }
    return all;
  }

  private void accept(NetSocket node) {
    nodes.add(node);
    node.closeHandler(v -> nodes.remove(node));
    node.pause();
    List<Integer> now = relays;
    connect(node, now, now.size());
  }

  private void connect(NetSocket node, List<Integer> to, int tries) {
    int port = to.get(Math.floorMod(turn.getAndIncrement(), to.size()));
    client.connect(port, "127.0.0.1").onSuccess(relay -> join(node, relay)).onFailure(e -> {
      if (tries > 1) connect(node, to, tries - 1);
      else node.close();
    });
  }

  private void join(NetSocket node, NetSocket relay) {
    node.closeHandler(v -> {
      nodes.remove(node);
      relay.close();
    });
    node.handler(request -> {
      note(request);
      relay.write(request);
    });
    relay.pipeTo(node).onComplete(v -> node.close());
    node.resume();
  }

  private void note(Buffer request) {
    Matcher since = SINCE.matcher(request.toString(StandardCharsets.ISO_8859_1));
    if (since.find()) asked.add(Long.parseLong(since.group(1)));
  }

  /** Ends all; fails where that takes over {@link #WAIT_S} seconds. */
  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().orTimeout(WAIT_S, TimeUnit.SECONDS)
        .join();
  }
}
