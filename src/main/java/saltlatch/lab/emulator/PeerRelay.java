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
 * Carries datagrams between nodes so that they can be lost and reordered. Node i's {@code peers}
 * are the relay's sockets {@code R_0..R_k-1}; a datagram from node i to {@code R_j} goes on to node
 * j from {@code R_i}, so node j reads it as from peer i. {@code peers_all} is one more socket that
 * copies to every other node. Loss and delay from the scenario's seed.
 */
public final class PeerRelay {
  private final Vertx vertx;
  private final Scenario.Peers spec;
  private final SplittableRandom chance;
  private final List<DatagramSocket> out = new ArrayList<>();
  private final List<Integer> nodePorts = new ArrayList<>();
  private final Map<Integer, Integer> nodeByPort = new HashMap<>();
  private DatagramSocket all;
  private long carried;
  private long lost;
  private long bytesIn;
  private long bytesOut;

  private final Links links;
  private final LabClock clock;

  PeerRelay(Vertx vertx, Scenario s, LabClock clock) {
    this.links = new Links(s.links().faults(), s.seed());
    this.clock = clock;
    this.vertx = vertx;
    this.spec = s.peers();
    this.chance = new SplittableRandom(s.seed() ^ 0x9ee5L);
  }

  /**
   * Binds one socket a node and one for all; {@code ports} are where the nodes listen for
   * datagrams.
   */
  Future<Void> start(List<Integer> ports) {
    List<Future<DatagramSocket>> binds = new ArrayList<>();
    for (int j = 0; j < ports.size(); j++) {
      nodePorts.add(ports.get(j));
      nodeByPort.put(ports.get(j), j);
      DatagramSocket d = vertx.createDatagramSocket(new DatagramSocketOptions());
      int to = j;
      d.handler(p -> {
        bytesIn += p.data().length();
        forward(p.sender().port(), p.data(), to);
      });
      out.add(d);
      binds.add(d.listen(0, "127.0.0.1"));
    }
    all = vertx.createDatagramSocket(new DatagramSocketOptions());
    all.handler(p -> {
      bytesIn += p.data().length();
      for (int j = 0; j < nodePorts.size(); j++) {
        Integer from = nodeByPort.get(p.sender().port());
        if (from != null && from != j) forward(p.sender().port(), p.data(), j);
      }
    });
    binds.add(all.listen(0, "127.0.0.1"));
    return Future.all(binds).mapEmpty();
  }

  /** The relay's addresses, as node i is to name its peers. */
  List<Integer> peerPorts() {
    return out.stream().map(d -> d.localAddress().port()).toList();
  }

  int allPort() {
    return all.localAddress().port();
  }

  long carried() {
    return carried;
  }

  /** Bytes of datagrams that nodes have sent, one to all counted once. */
  long bytesIn() {
    return bytesIn;
  }

  /** Bytes of datagrams sent on to nodes. */
  long bytesOut() {
    return bytesOut;
  }

  long lost() {
    return lost;
  }

  private void forward(int senderPort, Buffer data, int to) {
    Integer from = nodeByPort.get(senderPort);
    if (from == null) return;
    if (chance.nextDouble() < spec.loss()) {
      lost++;
      return;
    }
    double base = spec.reorderMs() > 0 ? 1 + chance.nextDouble() * spec.reorderMs() : 0;
    List<Double> copies = links.datagram("n" + from, "n" + to, clock.nowMs());
    if (copies.isEmpty()) lost++;
    for (double extra : copies) send(from, to, data, (long) (base + extra));
  }

  private void send(int from, int to, Buffer data, long delay) {
    Runnable send = () -> {
      carried++;
      bytesOut += data.length();
      out.get(from).send(data, nodePorts.get(to), "127.0.0.1");
    };
    if (delay == 0) send.run();
    else vertx.setTimer(delay, t -> send.run());
  }
}
