package saltlatch.wire.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.state.NodeMetrics;
import saltlatch.wire.transport.FixedTimeScheduler;

/** Checks the bytes of calls to the counter on a real connection, with a fixed clock. */
@Timeout(60)
class CounterClientTest {
  private static final long TIMEOUT_TICKS = 100_000;

  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private Vertx vertx;
  private Context loop;
  private ServerSocket counter;
  private Socket connection;
  private CounterClient client;

  @BeforeEach
  void start() throws Exception {
    vertx = Vertx.vertx();
    loop = vertx.getOrCreateContext();
    counter = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    counter.setSoTimeout(20_000);
    client = new CounterClient(vertx,
        SocketAddress.inetSocketAddress(counter.getLocalPort(), "127.0.0.1"),
        new FixedTimeScheduler(),
        (name, result, total, ticks) -> results
            .add(Long.toHexString(name) + " " + result + " " + total),
        new NodeMetrics(), TIMEOUT_TICKS);
  }

  @AfterEach
  void stop() throws Exception {
    if (connection != null) connection.close();
    counter.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private void runOnLoop(Runnable task) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(v -> {
      task.run();
      done.complete(null);
    });
    done.get(10, TimeUnit.SECONDS);
  }

  private void accept() throws IOException {
    connection = counter.accept();
    connection.setSoTimeout(20_000);
  }

  private void assertReceived(String expected) throws IOException {
    byte[] bytes = connection.getInputStream().readNBytes(expected.length());
    assertEquals(expected, new String(bytes, StandardCharsets.ISO_8859_1));
  }

  private void assertResult(String answer, String expectedResult) throws Exception {
    connection.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
    assertEquals(expectedResult, results.poll(20, TimeUnit.SECONDS));
  }

  /**
   * The name is sent in hexadecimal, units as an integer or with four decimal places, also below 0,
   * and the time to live in ms, at least 1.
   */
  @Test
  void encodesNameUnitsAndTimeToLive() throws Exception {
    long nameOnSameConnection = 8L << 32; // chosen by the low bits and the bits from bit 31 up
    runOnLoop(() -> {
      client.add(0, 1, 40_000, 0);
      client.add(0, 2.5, 40_009, 0);
      client.add(0, -0.0001, 9, 0);
      client.add(nameOnSameConnection, 1e-9, 0, 0);
    });
    accept();
    assertReceived(
        "bump 0 1 4000\r\nbump 0 2.5000 4000\r\nbump 0 -0.0001 1\r\n" + "bump 800000000 0 1\r\n");
  }

  @Test
  void encodesNameWithHighestBitSet() throws Exception {
    runOnLoop(() -> client.add(0xffffffffffffffffL, 123456.78901, 1_000_000_000, 0));
    accept();
    assertReceived("bump ffffffffffffffff 123456.7890 100000000\r\n");
  }

  /** A malformed answer ends the connection; the counter may have added the call's units. */
  @Test
  void decodesAnswersAndClosesAfterMalformedOne() throws Exception {
    runOnLoop(() -> {
      for (int call = 0; call < 5; call++) client.add(0xff, 1, 10, 0);
    });
    accept();
    assertReceived("bump ff 1 1\r\n".repeat(5));
    assertResult("ok 17.25\r\n", "ff ANSWERED 17.25");
    assertResult("ok 3\n", "ff ANSWERED 3.0");
    assertResult("busy\r\n", "ff BUSY_REPLY 0.0");
    assertResult("error\r\n", "ff CALL_REFUSED 0.0");
    assertResult("ok 0x1\r\n", "ff MALFORMED_REPLY 0.0");
    assertEquals(-1, connection.getInputStream().read());
  }
}
