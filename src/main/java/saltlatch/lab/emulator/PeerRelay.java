package saltlatch.lab.emulator;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.plan.Links;
import saltlatch.lab.scenario.Scenario;

/**
 * Relays the datagrams between nodes, so that they can be lost, delayed and reordered. The relay
 * has one socket per node, {@code R_0} to {@code R_k-1}, and these are the {@code peers} of every
 * node. A datagram that node i sends to {@code R_j} is sent from {@code R_i} to node j, so that
 * node j sees it as a datagram of peer i. One more socket, {@code peers_all}, copies each datagram
 * to all nodes except its sender. Losses and delays are drawn from the scenario's seed.
 */
public final class PeerRelay {
  private final Vertx vertx;
  private final Scenario.Peers spec;
  private final SplittableRandom random;
  private final List<DatagramSocket> peerSockets = new ArrayList<>();
  private final List<Integer> nodePorts = new ArrayList<>();
  private final Map<Integer, Integer> nodeByPort = new HashMap<>();
  private DatagramSocket broadcastSocket;
  private long sentDatagrams;
  private long lostDatagrams;
  private long bytesIn;
  private long bytesOut;

  private final Links links;
  private final LabClock clock;

  PeerRelay(Vertx vertx, Scenario scenario, LabClock clock) {
    this.links = new Links(scenario.links().faults(), scenario.seed());
    this.clock = clock;
    this.vertx = vertx;
    this.spec = scenario.peers();
    this.random = new SplittableRandom(scenario.seed() ^ 0x9ee5L);
  }

  /**
   * Binds one socket per node and one for datagrams to all nodes. {@code ports} are the UDP ports
   * on which the nodes listen, in the order of the nodes.
   */
  Future<Void> start(List<Integer> ports) {
    List<Future<DatagramSocket>> bound = new ArrayList<>();
    for (int i = 0; i < ports.size(); i++) {
      nodePorts.add(ports.get(i));
      nodeByPort.put(ports.get(i), i);
      DatagramSocket socket = vertx.createDatagramSocket(new DatagramSocketOptions());
      int receiver = i;
      socket.handler(packet -> {
        bytesIn += packet.data().length();
        forward(packet.sender().port(), packet.data(), receiver);
      });
      peerSockets.add(socket);
      bound.add(socket.listen(0, "127.0.0.1"));
    }
    broadcastSocket = vertx.createDatagramSocket(new DatagramSocketOptions());
    broadcastSocket.handler(packet -> {
      bytesIn += packet.data().length();
      for (int receiver = 0; receiver < nodePorts.size(); receiver++) {
        Integer sender = nodeByPort.get(packet.sender().port());
        if (sender != null && sender != receiver)
          forward(packet.sender().port(), packet.data(), receiver);
      }
    });
    bound.add(broadcastSocket.listen(0, "127.0.0.1"));
    return Future.all(bound).mapEmpty();
  }

  /** Returns the relay's ports that a node uses as its peers, in the order of the nodes. */
  List<Integer> peerPorts() {
    return peerSockets.stream().map(socket -> socket.localAddress().port()).toList();
  }

  /** Returns the port whose datagrams are copied to all nodes except the sender. */
  int broadcastPort() {
    return broadcastSocket.localAddress().port();
  }

  /** Returns the number of datagrams sent to nodes; copies count separately. */
  long sentDatagrams() {
    return sentDatagrams;
  }

  /** Returns the bytes of datagrams sent by nodes; a datagram to all nodes counts once. */
  long bytesIn() {
    return bytesIn;
  }

  /** Returns the bytes of datagrams sent to nodes. */
  long bytesOut() {
    return bytesOut;
  }

  /** Returns the number of datagrams lost on the way to a node. */
  long lostDatagrams() {
    return lostDatagrams;
  }

  private void forward(int senderPort, Buffer data, int receiver) {
    Integer sender = nodeByPort.get(senderPort);
    if (sender == null) return;
    if (random.nextDouble() < spec.loss()) {
      lostDatagrams++;
      return;
    }
    double delayMs = spec.reorderMs() > 0 ? 1 + random.nextDouble() * spec.reorderMs() : 0;
    List<Double> copyDelaysMs = links.datagram("n" + sender, "n" + receiver, clock.nowMs());
    if (copyDelaysMs.isEmpty()) lostDatagrams++;
    for (double copyDelayMs : copyDelaysMs)
      send(sender, receiver, data, (long) (delayMs + copyDelayMs));
  }

  private void send(int sender, int receiver, Buffer data, long delayMs) {
    Runnable send = () -> {
      sentDatagrams++;
      bytesOut += data.length();
      peerSockets.get(sender).send(data, nodePorts.get(receiver), "127.0.0.1");
    };
    if (delayMs == 0) send.run();
    else vertx.setTimer(delayMs, timer -> send.run());
  }
}
