package saltlatch.wire.peer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;

/**
 * Sends and receives datagrams between edge nodes. A datagram that can't be sent is dropped and
 * counted. Owned by the node's event loop.
 */
public final class PeerSocket {
  /** Receives datagrams on the node's event loop. */
  public interface Listener {
    /**
     * Receives a datagram.
     *
     * @param fromPeer the sender's index in the list of peers; -1 if it is not in the list
     */
    void datagramReceived(int fromPeer, byte[] bytes);
  }

  /** The maximum size of a datagram on the network between nodes. */
  static final int MAX_DATAGRAM_BYTES = 256;

  private final DatagramSocket socket;
  private final List<SocketAddress> peers;
  private final SocketAddress broadcast;
  private final NodeMetrics metrics;

  /**
   * Opens the socket and starts to receive.
   *
   * @param peers     the peers' addresses in the order of their numbers
   * @param broadcast the address that reaches all peers
   */
  public PeerSocket(Vertx vertx, SocketAddress listen, List<SocketAddress> peers,
      SocketAddress broadcast, Listener listener, NodeMetrics metrics) {
    this.peers = peers;
    this.broadcast = broadcast;
    this.metrics = metrics;
    socket = vertx.createDatagramSocket(new DatagramSocketOptions());
    socket.exceptionHandler(e -> metrics.add(Metric.DATAGRAMS_FAILED));
    socket.handler(packet -> {
      metrics.add(Metric.DATAGRAMS_RECEIVED);
      listener.datagramReceived(peers.indexOf(packet.sender()), packet.data().getBytes());
    });
    socket.listen(listen.port(), listen.host())
        .onFailure(e -> metrics.add(Metric.DATAGRAMS_FAILED));
  }

  /**
   * Sends a datagram.
   *
   * @param peer the receiver's number; negative for all peers
   */
  public void send(int peer, byte[] bytes) {
    SocketAddress address = addressOf(peer);
    if (address == null || bytes.length > MAX_DATAGRAM_BYTES) {
      metrics.add(Metric.DATAGRAMS_FAILED);
      return;
    }
    metrics.add(Metric.DATAGRAMS_SENT);
    socket.send(Buffer.buffer(bytes), address.port(), address.host())
        .onFailure(e -> metrics.add(Metric.DATAGRAMS_FAILED));
  }

  private SocketAddress addressOf(int peer) {
    if (peer < 0) return broadcast;
    return peer < peers.size() ? peers.get(peer) : null;
  }
}
