package saltlatch.wire.client;

import io.vertx.core.net.NetSocket;
import saltlatch.wire.transport.AvailableInput;
import saltlatch.wire.transport.SocketInput;

/**
 * Stops and resumes reading from one client's connection. Owned by the connection; used on the
 * event loop.
 */
final class ClientInput {
  /** The size of a read; one with fewer bytes has left none unread. */
  static final int READ_BYTES = 16 * 1024;

  private final NetSocket socket;
  private boolean stopped;

  /** Creates the input of a connection that is being read. */
  ClientInput(NetSocket socket) {
    this.socket = socket;
    SocketInput.fixReadSize(socket, READ_BYTES);
  }

  /** Stops reading; what arrives from now on stays in the operating system. */
  void stop() {
    if (stopped) return;
    stopped = true;
    SocketInput.stop(socket);
  }

  /** Resumes reading; returns whether it was stopped. */
  boolean resume() {
    if (!stopped) return false;
    stopped = false;
    SocketInput.resume(socket);
    return true;
  }

  boolean isStopped() {
    return stopped;
  }

  /** Reads what has arrived up to now, whether or not reading is stopped. */
  AvailableInput readAvailable() {
    return SocketInput.readAvailable(socket, READ_BYTES);
  }
}
