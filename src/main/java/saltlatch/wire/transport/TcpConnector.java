package saltlatch.wire.transport;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import saltlatch.wire.Excerpt;

/**
 * Creates the TCP clients that connect this node to its partners. Automatic reconnects and TCP
 * keep-alive are off, because only the policy decides what is sent and when. Has no state.
 */
public final class TcpConnector {
  private TcpConnector() {}

  /**
   * Parses an address of the form {@code HOST:PORT}.
   *
   * @throws IllegalArgumentException if the text has no host, or the port is not a number
   */
  public static SocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("expected HOST:PORT, found: " + Excerpt.of(text));
    }
    return SocketAddress.inetSocketAddress(Integer.parseInt(text.substring(colon + 1)),
        text.substring(0, colon));
  }

  /** Creates a client whose connections fail if they are not established within this time. */
  public static NetClient createClient(Vertx vertx, long connectTimeoutMs) {
    return vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setTcpKeepAlive(false)
        .setConnectTimeout((int) connectTimeoutMs).setReconnectAttempts(0));
  }
}
