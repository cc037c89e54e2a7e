package saltlatch.wire;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;

/** How this node connects to its partners over TCP: nothing retries, probes or keeps alive by itself. */
final class Dial {
  private Dial() {}

  static NetClient client(Vertx vertx, long connectMs) {
    return vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setTcpKeepAlive(false)
        .setConnectTimeout((int) connectMs).setReconnectAttempts(0));
  }
}
