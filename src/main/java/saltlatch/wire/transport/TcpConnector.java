package saltlatch.wire.transport;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;

/**
 * How this node connects to its partners over TCP: nothing retries, probes or keeps alive by
 * itself.
 */
public final class TcpConnector {
  private TcpConnector() {}

  /** Of the form {@code HOST:PORT}. */
  public static SocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) throw new IllegalArgumentException("no address: " + text);
    return SocketAddress.inetSocketAddress(Integer.parseInt(text.substring(colon + 1)),
        text.substring(0, colon));
  }

  public static NetClient client(Vertx vertx, long connectMs) {
    return vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setTcpKeepAlive(false)
        .setConnectTimeout((int) connectMs).setReconnectAttempts(0));
  }
}
