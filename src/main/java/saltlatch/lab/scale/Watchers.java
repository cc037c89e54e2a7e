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
 * Opens many watches of one source on one event loop and discards the data, so that they load the
 * source like any other watcher and this process as little as possible. Records when each index was
 * read.
 */
final class Watchers implements AutoCloseable {
  private static final byte[] INDEX_PREFIX = "{\"index\":"
      .getBytes(java.nio.charset.StandardCharsets.US_ASCII);
  // a large buffer needs fewer reads for a complete list
  private static final int RECEIVE_BYTES = 262_144;
  private static final int MAX_INDEX_OFFSET = 512;

  /** The time, by {@link System#nanoTime}, when the start of a line with this index was read. */
  record Read(long index, long atNanos) {}

  private final Vertx vertx = Vertx
      .vertx(new VertxOptions().setEventLoopPoolSize(1).setPreferNativeTransport(true));
  private final NetClient client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)
      .setReceiveBufferSize(RECEIVE_BYTES).setReconnectAttempts(0));
  private final List<NetSocket> sockets = new ArrayList<>(); // used only on the event loop
  private final Queue<Read> reads = new ConcurrentLinkedQueue<>();
  private final LongAdder bytes = new LongAdder();
  private final AtomicInteger failed = new AtomicInteger();

  /** Opens {@code count} watches concurrently and returns before they are open. */
  void open(SocketAddress source, int count, long since) {
    Buffer request = Buffer.buffer("GET /api/targets?follow=1&since=" + since
        + " HTTP/1.1\r\nhost: " + source.host() + "\r\n\r\n");
    vertx.runOnContext(ignored -> {
      for (int i = 0; i < count; i++) {
        client.connect(source).onFailure(error -> failed.incrementAndGet()).onSuccess(socket -> {
          sockets.add(socket);
          socket.handler(this::read);
          socket.closeHandler(closed -> failed.incrementAndGet());
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
   * Returns the index of the line that starts in this data, or -1 if none does. Only the first
   * {@value #MAX_INDEX_OFFSET} bytes are searched, since a line starts near the beginning of a
   * read.
   */
  private static long index(Buffer data) {
    int end = Math.min(data.length() - INDEX_PREFIX.length, MAX_INDEX_OFFSET);
    for (int offset = 0; offset < end; offset++) {
      if (!matches(data, offset)) continue;
      long index = 0;
      for (int digit = offset + INDEX_PREFIX.length; digit < data.length()
          && data.getByte(digit) != ','; digit++)
        index = index * 10 + data.getByte(digit) - '0';
      return index;
    }
    return -1;
  }

  private static boolean matches(Buffer data, int offset) {
    for (int i = 0; i < INDEX_PREFIX.length; i++)
      if (data.getByte(offset + i) != INDEX_PREFIX[i]) return false;
    return true;
  }

  /** Returns the number of bytes that all watches have read. */
  long bytes() {
    return bytes.sum();
  }

  /** Returns the number of watches that failed to open or have ended. */
  int failed() {
    return failed.get();
  }

  /** Returns the line starts that were read so far. */
  List<Read> reads() {
    return List.copyOf(reads);
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
