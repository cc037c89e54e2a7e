package saltlatch.lab.scale;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.Queue;

/**
 * Many plain watchers of one source on one event loop, which read and keep nothing: a list's bytes
 * cost the source what any watcher's do, and this side as little as can be. Tells when what was put
 * was read.
 */
final class Watchers implements AutoCloseable {
  private static final byte[] INDEX = "{\"index\":"
      .getBytes(java.nio.charset.StandardCharsets.US_ASCII);
  // of a read: fewer turns of the loop for whole lists
  private static final int RECEIVE_BYTES = 262_144;

  /** A line with this index began to come then, by {@link System#nanoTime}. */
  record Read(long index, long atNanos) {}

  private final Vertx vertx = Vertx
      .vertx(new VertxOptions().setEventLoopPoolSize(1).setPreferNativeTransport(true));
  private final NetClient client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)
      .setReceiveBufferSize(RECEIVE_BYTES).setReconnectAttempts(0));
  private final List<NetSocket> sockets = new ArrayList<>(); // touched on the loop alone
  private final Queue<Read> reads = new ConcurrentLinkedQueue<>();
  private final LongAdder bytes = new LongAdder();
  private final AtomicInteger failed = new AtomicInteger();

  /** Opens so many watches at once; what they read comes when it does. */
  void open(SocketAddress source, int count, long since) {
    Buffer request = Buffer.buffer("GET /api/targets?follow=1&since=" + since
        + " HTTP/1.1\r\nhost: " + source.host() + "\r\n\r\n");
    vertx.runOnContext(v -> {
      for (int i = 0; i < count; i++) {
        client.connect(source).onFailure(e -> failed.incrementAndGet()).onSuccess(socket -> {
          sockets.add(socket);
          socket.handler(this::read);
          socket.closeHandler(x -> failed.incrementAndGet());
          socket.write(request);
        });
      }
    });
  }

  private void read(Buffer data) {
    bytes.add(data.length());
    long index = index(data);
    if (index >= 0) reads.add(new Read(index, System.nanoTime()));
  }

  /**
   * Of the line that begins in here; below 0: none does. It is near the beginning of a read: no
   * more is looked at.
   */
  private static long index(Buffer data) {
    int most = Math.min(data.length() - INDEX.length, 512);
    for (int at = 0; at < most; at++) {
      if (!matches(data, at)) continue;
      long index = 0;
      for (int digit = at + INDEX.length; digit < data.length()
          && data.getByte(digit) != ','; digit++)
        index = index * 10 + data.getByte(digit) - '0';
      return index;
    }
    return -1;
  }

  private static boolean matches(Buffer data, int at) {
    for (int i = 0; i < INDEX.length; i++) if (data.getByte(at + i) != INDEX[i]) return false;
    return true;
  }

  /** Bytes that all of them have read. */
  long bytes() {
    return bytes.sum();
  }

  /** Watches that never came up or have ended. */
  int failed() {
    return failed.get();
  }

  /** Every line's beginning that was seen so far. */
  List<Read> reads() {
    return List.copyOf(reads);
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
