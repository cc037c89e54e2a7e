import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** A link to one address: passes bytes on in both directions, each after the same delay. */
final class Link {
  private record Piece(byte[] bytes, long dueNanos) {}

  private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
  private final long delayNanos;

  Link(int targetPort, double delayMs) throws IOException {
    delayNanos = (long) (delayMs * 1e6);
    Threads.run(() -> {
      while (true) {
        Socket near = server.accept();
        Threads.run(() -> {
          Socket far = new Socket(InetAddress.getByName("127.0.0.1"), targetPort);
          near.setTcpNoDelay(true);
          far.setTcpNoDelay(true);
          pass(near, far);
          pass(far, near);
        });
      }
    });
  }

  int port() {
    return server.getLocalPort();
  }

  private void pass(Socket from, Socket to) {
    LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
    Threads.run(() -> {
      byte[] buffer = new byte[65_536];
      try {
        InputStream in = from.getInputStream();
        for (int size = in.read(buffer); size >= 0; size = in.read(buffer)) {
          pieces.add(new Piece(java.util.Arrays.copyOf(buffer, size),
              System.nanoTime() + delayNanos));
        }
      } finally {
        pieces.add(new Piece(null, System.nanoTime() + delayNanos));
      }
    });
    Threads.run(() -> {
      try {
        OutputStream out = to.getOutputStream();
        while (true) {
          Piece piece = pieces.take();
          for (long left = piece.dueNanos() - System.nanoTime(); left > 0;
              left = piece.dueNanos() - System.nanoTime()) {
            LockSupport.parkNanos(left);
          }
          if (piece.bytes() == null) return;
          out.write(piece.bytes());
        }
      } finally {
        // a close or a reset on one side closes the other
        to.close();
        from.close();
      }
    });
  }
}
