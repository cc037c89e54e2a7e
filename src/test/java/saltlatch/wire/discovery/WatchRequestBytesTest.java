package saltlatch.wire.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.state.NodeMetrics;
import saltlatch.wire.transport.FixedTimeScheduler;

/** Checks every byte of the watch's HTTP request on a real connection. */
@Timeout(60)
class WatchRequestBytesTest {
  private final FixedTimeScheduler clock = new FixedTimeScheduler();
  private Vertx vertx;
  private Context loop;
  private ServerSocket agent;

  @BeforeEach
  void start() throws Exception {
    vertx = Vertx.vertx();
    loop = vertx.getOrCreateContext();
    agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    agent.setSoTimeout(20_000);
  }

  @AfterEach
  void stop() throws Exception {
    agent.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  /** Returns all bytes that a client which starts with this list sends at first. */
  private String receiveRequest(EndpointList initial) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(v -> {
      DiscoveryClient client = new DiscoveryClient(vertx,
          SocketAddress.inetSocketAddress(agent.getLocalPort(), "127.0.0.1"), clock,
          new DiscoveryClient.Listener() {
            @Override
            public void endpointsReceived(EndpointList list, Runnable applied) {}

            @Override
            public void watchEnded() {}
          }, new NodeMetrics(), initial);
      client.openWatch();
      clock.runDue();
      done.complete(null);
    });
    done.get(10, TimeUnit.SECONDS);
    try (Socket connection = agent.accept()) {
      connection.setSoTimeout(20_000);
      return readRequest(connection.getInputStream());
    }
  }

  private static String readRequest(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) head.append((char) in.read());
    byte[] rest = new byte[in.available()];
    in.readNBytes(rest, 0, rest.length);
    return head + new String(rest, StandardCharsets.ISO_8859_1);
  }

  private void assertRequest(String pathAndQuery, EndpointList initial) throws Exception {
    assertEquals(
        "GET " + pathAndQuery + " HTTP/1.1\r\nhost: 127.0.0.1:" + agent.getLocalPort() + "\r\n\r\n",
        receiveRequest(initial));
  }

  @Test
  void requestsWithoutIndexAndSeries() throws Exception {
    assertRequest("/api/targets?follow=1&since=0", new EndpointList(0, 0, true, List.of()));
  }

  @Test
  void requestsWithIndex() throws Exception {
    assertRequest("/api/targets?follow=1&since=41", new EndpointList(0, 41, true, List.of()));
  }

  @Test
  void requestsWithIndexAndSeries() throws Exception {
    assertRequest("/api/targets?follow=1&since=41&series=1764739200000",
        new EndpointList(1_764_739_200_000L, 41, true, List.of()));
  }
}
