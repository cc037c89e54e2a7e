package saltlatch.wire.peer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;

/** Datagrams between edge nodes. */
public final class PeerSocket {
  /** Whom datagrams are told to. */
  public interface Listener {
    void heard(int from, byte[] words);
  }

  private static final int LONGEST = 256; // bytes; a longer one voids the run

  private final DatagramSocket socket;
  private final List<SocketAddress> peers;
  private final SocketAddress all;
  private final NodeMetrics counters;

  public PeerSocket(Vertx vertx, SocketAddress listen, List<SocketAddress> peers, SocketAddress all,
      Listener host, NodeMetrics counters) {
    this.peers = peers;
    this.all = all;
    this.counters = counters;
    socket = vertx.createDatagramSocket(new DatagramSocketOptions());
    socket.exceptionHandler(e -> counters.add(Metric.DATAGRAMS_FAILED));
    socket.handler(packet -> {
      counters.add(Metric.DATAGRAMS_RECEIVED);
      host.heard(peers.indexOf(packet.sender()), packet.data().getBytes());
    });
    socket.listen(listen.port(), listen.host())
        .onFailure(e -> counters.add(Metric.DATAGRAMS_FAILED));
  }

  /** {@code peer} below 0: all of them. */
  public void send(int peer, byte[] words) {
    SocketAddress to = peer < 0 ? all : peer < peers.size() ? peers.get(peer) : null;
    if (to == null || words.length > LONGEST) {
      counters.add(Metric.DATAGRAMS_FAILED);
      return;
    }
    counters.add(Metric.DATAGRAMS_SENT);
    socket.send(Buffer.buffer(words), to.port(), to.host())
        .onFailure(e -> counters.add(Metric.DATAGRAMS_FAILED));
  }
}
