package saltlatch.lab;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stands for the platform's agent on the nodes' machines: nodes have one address of discovery, and what listens there passes
 * each connection on to one of the relays that take it. It reads along from which index each node asks.
 */
final class AgentForwarder implements AutoCloseable {
  private static final Pattern SINCE = Pattern.compile("GET /api/targets\\?follow=1&since=(\\d+)");
  private static final int WAIT_S = 20; // a busy machine

  /** The indexes that nodes asked from, in the order in which they asked. */
  final BlockingQueue<Long> asked = new LinkedBlockingQueue<>();

  private final Vertx vertx = Vertx.vertx();
  private final NetClient client = vertx.createNetClient();
  private final List<Integer> relays;
  private final Set<NetSocket> nodes = ConcurrentHashMap.newKeySet();
  private final AtomicInteger turn = new AtomicInteger();
  private final NetServer server;

  AgentForwarder(List<Integer> relayPorts) throws Exception {
    relays = new CopyOnWriteArrayList<>(relayPorts);
    server = vertx.createNetServer().connectHandler(this::accept).listen(0, "127.0.0.1").toCompletionStage()
        .toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
  }

  String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  /** Ends all connections; the nodes ask anew, and the next so many asked for are from which indexes they did. */
  List<Long> cutAndAsk(int count) throws InterruptedException {
    asked.clear();
    nodes.forEach(NetSocket::close);
    List<Long> all = new ArrayList<>();
    while (all.size() < count) {
      Long since = asked.poll(WAIT_S, TimeUnit.SECONDS);
      if (since == null) throw new IllegalStateException(all.size() + " of " + count + " asked anew: " + all);
      all.add(since);
    }
    return all;
  }

  private void accept(NetSocket node) {
    nodes.add(node);
    node.closeHandler(v -> nodes.remove(node));
    node.pause();
    connect(node, relays.size());
  }

  private void connect(NetSocket node, int tries) {
    int port = relays.get(Math.floorMod(turn.getAndIncrement(), relays.size()));
    client.connect(port, "127.0.0.1").onSuccess(relay -> join(node, relay)).onFailure(e -> {
      if (tries > 1) connect(node, tries - 1);
      else node.close();
    });
  }

  private void join(NetSocket node, NetSocket relay) {
    node.closeHandler(v -> {
      nodes.remove(node);
      relay.close();
    });
    relay.closeHandler(v -> node.close());
    relay.handler(node::write);
    node.handler(request -> {
      note(request);
      relay.write(request);
    });
    node.resume();
  }

  private void note(Buffer request) {
    Matcher since = SINCE.matcher(request.toString(StandardCharsets.ISO_8859_1));
    if (since.find()) asked.add(Long.parseLong(since.group(1)));
  }

  @Override
  public void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(WAIT_S, TimeUnit.SECONDS);
  }
}
