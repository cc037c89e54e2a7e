package saltlatch.lab.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A proxy in front of a node that passes everything on later: bytes, the end of a connection and
 * its reset, also one that follows the end. Two threads for each connection.
 */
final class DelayedLink implements AutoCloseable {
  private static final int BUFFER_BYTES = 4096;
  private static final int BACKLOG = 1024;
  private static final int NO_BYTES = -1;
  private static final long RESET_POLL_MS = 1;
  /** The look that is under way at an end may not show it; the one after that does. */
  private static final int LOOKS_AFTER_END = 2;

  private final ServerSocket listener;
  private final int nodePort;
  private final long delayMs;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile boolean closed;
  private volatile Set<LocalConnections.Connection> ended = Set.of();
  private final AtomicLong looks = new AtomicLong();

  /** Starts to accept connections, which are passed on to the node after the delay. */
  DelayedLink(int nodePort, long delayMs) throws IOException {
    this.nodePort = nodePort;
    this.delayMs = delayMs;
    listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    startThread(this::acceptAll);
    startThread(this::lookForResets);
  }

  int port() {
    return listener.getLocalPort();
  }

  private interface Step {
    void run() throws IOException, InterruptedException;
  }

  private void startThread(Step step) {
    Thread thread = new Thread(() -> {
      try {
        step.run();
      } catch (IOException e) {
        // a connection has ended, or the link is closed
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }, "delayed-link");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() throws IOException {
    while (!closed) {
      Socket client = listener.accept();
      Socket node = new Socket(InetAddress.getLoopbackAddress(), nodePort);
      client.setTcpNoDelay(true);
      node.setTcpNoDelay(true);
      sockets.add(client);
      sockets.add(node);
      startThread(() -> copy(client, node));
      startThread(() -> copyToClient(node, client));
    }
  }

  private void copy(Socket from, Socket to) throws IOException, InterruptedException {
    byte[] bytes = new byte[BUFFER_BYTES];
    for (int length = from.getInputStream().read(bytes); length != NO_BYTES; length = from
        .getInputStream().read(bytes)) {
      Thread.sleep(delayMs);
      to.getOutputStream().write(bytes, 0, length);
    }
  }

  private void copyToClient(Socket node, Socket client) throws IOException, InterruptedException {
    try {
      copy(node, client);
      long firstLook = looks.get() + LOOKS_AFTER_END;
      Thread.sleep(delayMs);
      client.shutdownOutput();
      awaitReset(node, firstLook);
    } catch (SocketException e) {
      // the node has reset the connection
    }
    Thread.sleep(delayMs);
    client.setSoLinger(true, 0);
    client.close();
  }

  /**
   * Returns once the connection is reset behind its end; never returns if it is not.
   *
   * @param firstLook the first look that shows the end
   */
  private void awaitReset(Socket node, long firstLook) throws InterruptedException {
    var connection = new LocalConnections.Connection(node.getLocalPort(), nodePort);
    while (!closed && (looks.get() < firstLook || ended.contains(connection)))
      Thread.sleep(RESET_POLL_MS);
  }

  /** One thread looks for all connections, since each look reads the states of all. */
  private void lookForResets() throws IOException, InterruptedException {
    while (!closed) {
      ended = LocalConnections.inCloseWait();
      looks.incrementAndGet();
      Thread.sleep(RESET_POLL_MS);
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : sockets) socket.close();
  }
}
