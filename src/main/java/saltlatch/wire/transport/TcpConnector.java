package saltlatch.wire.transport;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;

/**
 * How this node connects to its partners over TCP. The library neither retries a connection nor
 * keeps it alive by itself: what is sent, and when, is decided by the policy alone. Has no state.
 */
public final class TcpConnector {
  private TcpConnector() {}

  /**
   * Reads an address of the form {@code HOST:PORT}.
   *
   * @throws IllegalArgumentException if the text has no host, or no number for its port
   */
  public static SocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) throw new IllegalArgumentException("no address: " + text);
    return SocketAddress.inetSocketAddress(Integer.parseInt(text.substring(colon + 1)),
        text.substring(0, colon));
  }

  /** A client whose connections are given up if they have not come up after this time. */
  public static NetClient createClient(Vertx vertx, long connectTimeoutMs) {
    return vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setTcpKeepAlive(false)
        .setConnectTimeout((int) connectTimeoutMs).setReconnectAttempts(0));
  }
}
