package saltlatch.wire.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.state.NodeMetrics;

/** Checks datagrams to and from peers on real sockets. */
@Timeout(60)
class PeerSocketTest {
  private static final HexFormat HEX = HexFormat.of();

  private static DatagramSocket openSocket() throws Exception {
    DatagramSocket socket = new DatagramSocket(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    socket.setSoTimeout(20_000);
    return socket;
  }

  private static SocketAddress address(DatagramSocket socket) {
    return SocketAddress.inetSocketAddress(socket.getLocalPort(), "127.0.0.1");
  }

  private static String receive(DatagramSocket socket) throws Exception {
    DatagramPacket packet = new DatagramPacket(new byte[512], 512);
    socket.receive(packet);
    return HEX.formatHex(Arrays.copyOf(packet.getData(), packet.getLength()));
  }

  /** Sends to one peer, all peers and an unknown one, and beyond the limit of 256 bytes. */
  @Test
  void sendsAndReceivesBytesUnchanged() throws Exception {
    Vertx vertx = Vertx.vertx();
    NodeMetrics metrics = new NodeMetrics();
    try (DatagramSocket firstPeer = openSocket();
        DatagramSocket secondPeer = openSocket();
        DatagramSocket broadcast = openSocket();
        DatagramSocket nodePort = openSocket()) {
      SocketAddress nodeAddress = address(nodePort);
      nodePort.close();
      BlockingQueue<String> received = new LinkedBlockingQueue<>();
      PeerSocket peers = new PeerSocket(vertx, nodeAddress,
          List.of(address(firstPeer), address(secondPeer)), address(broadcast),
          (fromPeer, bytes) -> received.add(fromPeer + " " + HEX.formatHex(bytes)), metrics);
      peers.send(0, HEX.parseHex("5100"));
      peers.send(1, HEX.parseHex("b701"));
      peers.send(-1, HEX.parseHex("00"));
      peers.send(2, HEX.parseHex("ff"));
      peers.send(0, new byte[257]);
      peers.send(0, new byte[256]);
      assertEquals("5100", receive(firstPeer));
      assertEquals("b701", receive(secondPeer));
      assertEquals("00", receive(broadcast));
      assertEquals("00".repeat(256), receive(firstPeer));
      InetSocketAddress node = new InetSocketAddress(InetAddress.getLoopbackAddress(),
          nodeAddress.port());
      secondPeer.send(new DatagramPacket(new byte[] {0x51, 7}, 2, node));
      assertEquals("1 5107", received.poll(20, TimeUnit.SECONDS));
      broadcast.send(new DatagramPacket(new byte[] {8}, 1, node));
      assertEquals("-1 08", received.poll(20, TimeUnit.SECONDS));
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
    for (String line : List.of("peers_told=4\n", "peers_heard=2\n", "peers_failed=2\n"))
      assertEquals(true, metrics.infoText().contains(line), line);
  }
}
