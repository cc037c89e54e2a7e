package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.policy.PolicyEngine;

/** Several hollow nodes, that is, nodes without a data path, in one JVM with the real policy. */
@Timeout(60)
class HollowNodeTest {
  private static String listJson(int index, String name) {
    return "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[{\"name\":\"" + name
        + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"m\",\"status\":\"Ready\"}]}\n";
  }

  @Test
  void eachNodeFollowsDiscoveryOnItsOwnLoop() throws Exception {
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
    List<BlockingQueue<Long>> appliedIndices = new ArrayList<>();
    try (ServerSocket discovery = NodeHarness.openServerSocket()) {
      String config = Files.readString(Path.of("deploy/sample.json"))
          .replace("\"discovery\":\"127.0.0.1:16379\"",
              "\"discovery\":\"127.0.0.1:" + discovery.getLocalPort() + "\"")
          .replace("\"peer_listen\":\"127.0.0.1:16379\",", "");
      for (int i = 0; i < 2; i++) {
        CompletableFuture<Context> loop = new CompletableFuture<>();
        vertx.deployVerticle(context -> {
          loop.complete(context);
          return Future.succeededFuture();
        });
        HollowNode node = new HollowNode(vertx, loop.get(20, TimeUnit.SECONDS),
            NodeConfigurationReader.read(config));
        BlockingQueue<Long> indices = new LinkedBlockingQueue<>();
        node.onListApplied(indices::add);
        node.start(PolicyEngine::new);
        assertEquals(1, indices.poll(20, TimeUnit.SECONDS));
        appliedIndices.add(indices);
        Socket watch = discovery.accept();
        watch.setSoTimeout(20_000);
        NodeHarness.readLine(watch);
        NodeHarness.sendFirstChunk(watch, listJson(2 + i, "s-1") + listJson(4, "s-2"));
        assertEquals(2 + i, appliedIndices.get(i).poll(20, TimeUnit.SECONDS));
        assertEquals(4, appliedIndices.get(i).poll(20, TimeUnit.SECONDS));
        assertEquals(4, node.listIndex());
        assertEquals(3, node.listedServerCount());
        assertTrue(node.infoText().contains("lists=2\n"), node.infoText());
        node.stop();
        String line = "";
        // the node closes the watch
        while (!line.equals("closed")) line = NodeHarness.readLine(watch);
        watch.close();
      }
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
  }
}
