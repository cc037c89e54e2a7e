package saltlatch.lab.flood;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that sends messages of one kind at full speed on one connection, and reads all that is
 * sent to it. Connects again if the node closes the connection. Has a thread for each direction.
 */
final class FloodingClient implements AutoCloseable {
  private static final int BATCH_BYTES = 16 * 1024;
  private static final int READ_BYTES = 64 * 1024;
  private static final long RECONNECT_MS = 20;

  private final FloodKind kind;
  private final int port;
  private final AtomicLong numbers;
  private final Thread writer = new Thread(this::flood, "flood-writer");
  private volatile boolean closed;
  private volatile Socket socket;

  /**
   * Starts the flood.
   *
   * @param numbers the number of the next message, shared by the clients of a trial
   */
  FloodingClient(FloodKind kind, int port, AtomicLong numbers) {
    this.kind = kind;
    this.port = port;
    this.numbers = numbers;
    writer.setDaemon(true);
    writer.start();
  }

  private void flood() {
    while (!closed) {
      try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
        socket = connection;
        Thread reader = new Thread(() -> readAll(connection), "flood-reader");
        reader.setDaemon(true);
        reader.start();
        while (!closed) connection.getOutputStream().write(batch());
      } catch (IOException e) {
        pause(); // closed by the node, or by close()
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(RECONNECT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private byte[] batch() throws IOException {
    ByteArrayOutputStream batch = new ByteArrayOutputStream(BATCH_BYTES);
    while (batch.size() < BATCH_BYTES) batch.write(kind.message(numbers.incrementAndGet()));
    return batch.toByteArray();
  }

  private static void readAll(Socket connection) {
    byte[] buffer = new byte[READ_BYTES];
    try {
      while (connection.getInputStream().read(buffer) >= 0) {
        // the replies are not looked at
      }
    } catch (IOException e) {
      // the connection has ended; the writer sees it too
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    Socket connection = socket;
    if (connection != null) connection.close();
  }
}
