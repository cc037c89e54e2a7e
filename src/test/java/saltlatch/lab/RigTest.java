package saltlatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.plan.Links;
import saltlatch.lab.plan.LoadBalancer;
import saltlatch.lab.plan.Timeline;
import saltlatch.lab.plan.Timeline.Action;
import saltlatch.lab.rig.LinkProxies;
import saltlatch.lab.scenario.Group;
import saltlatch.lab.scenario.Scenario;
import saltlatch.lab.scenario.Scenario.LinkFault;
import saltlatch.lab.scenario.Scenario.ProcessFault;

/** Tests of the fault schedule, and of the link proxies on real sockets. */
class RigTest {
  private static LinkFault linkFault(String kind, double atS, double forS, String from, String to,
      boolean oneWay, double share, double extraMs, double periodMs) {
    return new LinkFault(kind, atS, forS, from, to, oneWay, share, extraMs, periodMs);
  }

  @Test
  void parsesGroupsAndRejectsUnknownNames() {
    Group group = Group.of("n0-2, n5,servers");
    assertEquals(List.of(0, 1, 2, 5), group.nodes(7));
    assertTrue(group.holds("s9") && !group.holds("counter") && !group.holds("n3"));
    assertThrows(IllegalArgumentException.class, () -> Group.of("n1,everybody"));
    assertThrows(IllegalArgumentException.class,
        () -> Scenario.parse("[[links.faults]]\nkind = \"cut\"\nfrom = \"n0\"\n"));
    assertThrows(IllegalArgumentException.class,
        () -> Scenario.parse("[[processes.faults]]\nkind = \"kill\"\nnodes = \"n9\"\n"));
  }

  @Test
  void oneWayCutsAndFlapsFollowTheSchedule() {
    Links links = new Links(List.of(linkFault("cut", 1, 2, "n1", "n2", true, 0, 0, 0),
        linkFault("flap", 10, 2, "n3", "counter", false, 0, 0, 100)), 5);
    assertTrue(links.cut("n1", "n2", 1_000) && !links.cut("n2", "n1", 1_000)
        && !links.cut("n1", "n2", 3_000));
    assertTrue(links.cut("counter", "n3", 10_049) && !links.cut("n3", "counter", 10_051)
        && links.cut("n3", "counter", 10_101));
    assertTrue(links.everTouches("n2", "n1") && !links.everTouches("n1", "n3"));
  }

  /**
   * The same seed gives the same faults, regardless of the traffic on other links. Loss and
   * duplicates occur at their configured shares.
   */
  @Property(tries = 50, seed = "17")
  void datagramFaultsAreReproducible(@ForAll long seed,
      @ForAll @IntRange(min = 1, max = 9) int tenths) {
    List<LinkFault> faults = List.of(linkFault("loss", 0, 0, "n0", "n1", true, tenths / 10.0, 0, 0),
        linkFault("duplicate", 0, 0, "n0", "n1", true, 0.5, 7, 0),
        linkFault("reorder", 0, 0, "n0-1", "n2", false, 1, 30, 0));
    Links links = new Links(faults, seed);
    Links sameLinks = new Links(faults, seed);
    int lost = 0;
    int duplicated = 0;
    for (int i = 0; i < 400; i++) {
      List<Double> deliveries = links.datagram("n0", "n1", i);
      for (int k = 0; k < i % 3; k++) sameLinks.datagram("n1", "n2", i);
      assertEquals(deliveries, sameLinks.datagram("n0", "n1", i));
      lost += deliveries.isEmpty() ? 1 : 0;
      duplicated += deliveries.size() > 1 ? 1 : 0;
      for (double delayMs : links.datagram("n2", "n1", i))
        assertTrue(delayMs >= 0 && delayMs <= 30);
    }
    // Six standard deviations of 400 draws are at most 60, for every seed.
    assertTrue(Math.abs(lost - 40 * tenths) <= 60,
        "expected " + 40 * tenths + " of 400 lost, at most 60 off; found " + lost);
    assertTrue(Math.abs(duplicated - (400 - lost) / 2.0) <= 60,
        "expected half of " + (400 - lost) + " duplicated, at most 60 off; found " + duplicated);
  }

  @Test
  void timelineOrdersStepsOfARollingRestart() {
    List<Timeline.Step> steps = Timeline
        .of(List.of(new ProcessFault("term", 2, 0, "n0-2", 5, true, 4.5, true),
            new ProcessFault("pause", 3, 8, "nodes", 0, false, 0, false)), 3);
    assertEquals(
        List.of("2000 TERM [0]", "3000 STOP [0, 1, 2]", "6500 START_OLD [0]", "7000 TERM [1]",
            "11000 CONT [0, 1, 2]", "11500 START_OLD [1]", "12000 TERM [2]", "16500 START_OLD [2]"),
        steps.stream().map(step -> (long) step.atMs() + " " + step.action() + " " + step.nodes())
            .toList());
    assertEquals(Action.KILL, Timeline
        .of(List.of(new ProcessFault("kill", 0, 0, "n1", 0, false, 0, false)), 3).get(0).action());
  }

  @Test
  void loadBalancerDetectsDeadNodesAfterItsTimeout() {
    LoadBalancer loadBalancer = new LoadBalancer(3, 2_000);
    assertEquals(-1, loadBalancer.route(0, 3, 0)); // no node has answered yet
    for (int node = 0; node < 3; node++) loadBalancer.recordPong(node, 0);
    List<Integer> routed = new ArrayList<>();
    for (int i = 0; i < 4; i++) routed.add(loadBalancer.route(1, 2, 1_999));
    assertEquals(List.of(1, 2, 1, 2), routed); // round-robin within the customer's nodes
    loadBalancer.recordPong(2, 1_500);
    // n1 no longer answers
    assertEquals(List.of(2, 2),
        List.of(loadBalancer.route(1, 2, 2_001), loadBalancer.route(1, 2, 2_001)));
    loadBalancer.recordPong(1, 4_000);
    assertTrue(loadBalancer.isHealthy(1, 4_000) && !loadBalancer.isHealthy(2, 4_000));
  }

  /**
   * A cut link is silent: bytes and the end of the stream arrive after it heals, in order, no
   * connection ends, and new connections are not established.
   */
  @Test
  void cutConnectionIsSilentUntilItHeals() throws Exception {
    LabClock clock = new LabClock();
    double cutAt = clock.nowMs() / 1000 + 0.5;
    Links links = new Links(List.of(linkFault("cut", cutAt, 1.5, "n0", "counter", false, 0, 0, 0)),
        1);
    try (ServerSocket target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        LinkProxies linkProxies = new LinkProxies(links, clock);
        Socket client = new Socket(InetAddress.getLoopbackAddress(),
            linkProxies.port("n0", "counter", target.getLocalPort()));
        Socket accepted = target.accept()) {
      InetSocketAddress proxyAddress = (InetSocketAddress) client.getRemoteSocketAddress();
      // a link without faults has no proxy
      assertEquals(target.getLocalPort(), linkProxies.port("n1", "counter", target.getLocalPort()));
      accepted.setSoTimeout(300);
      client.getOutputStream().write('a');
      assertEquals('a', accepted.getInputStream().read());
      while (clock.nowMs() < cutAt * 1000 + 50) Thread.sleep(5);
      client.getOutputStream().write('b');
      client.shutdownOutput(); // the end of the stream is held as well
      assertThrows(SocketTimeoutException.class, () -> accepted.getInputStream().read());
      for (int i = 0; i < 3; i++) {
        try (Socket newClient = new Socket()) {
          assertThrows(SocketTimeoutException.class, () -> newClient.connect(proxyAddress, 250));
        }
      }
      accepted.setSoTimeout(3_000);
      assertEquals('b', accepted.getInputStream().read());
      assertEquals(-1, accepted.getInputStream().read());
      assertTrue(clock.nowMs() >= (cutAt + 1.5) * 1000,
          "expected the end of the stream after the link healed, found it at " + clock.nowMs()
              + " ms");
      try (Socket newClient = new Socket()) {
        newClient.connect(proxyAddress, 3_000); // new connections are established again
      }
      assertTrue(linkProxies.delayUs().get("chunks") >= 1);
    }
  }

  /**
   * A one-way cut holds the bytes of one direction and forwards those of the other. A target that
   * does not listen causes a reset.
   */
  @Test
  void oneWayCutHoldsOneDirectionAndDeadTargetResets() throws Exception {
    LabClock clock = new LabClock();
    double cutAt = clock.nowMs() / 1000 + 0.3;
    Links links = new Links(List.of(linkFault("cut", cutAt, 0.8, "counter", "n0", true, 0, 0, 0),
        linkFault("delay", 0, 0, "n1", "counter", false, 0, 1, 0)), 1);
    try (LinkProxies linkProxies = new LinkProxies(links, clock);
        ServerSocket target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      int port = target.getLocalPort();
      try (
          Socket client = new Socket(InetAddress.getLoopbackAddress(),
              linkProxies.port("n0", "counter", port));
          Socket accepted = target.accept()) {
        while (clock.nowMs() < cutAt * 1000 + 50) Thread.sleep(5);
        client.getOutputStream().write('x');
        accepted.setSoTimeout(500);
        assertEquals('x', accepted.getInputStream().read());
        accepted.getOutputStream().write('y');
        client.setSoTimeout(200);
        assertThrows(SocketTimeoutException.class, () -> client.getInputStream().read());
        client.setSoTimeout(3_000);
        assertEquals('y', client.getInputStream().read());
      }
      int deadLinkPort = linkProxies.port("n1", "counter", port);
      target.close();
      try (Socket client = new Socket(InetAddress.getLoopbackAddress(), deadLinkPort)) {
        client.setSoTimeout(3_000);
        assertThrows(IOException.class, () -> {
          if (client.getInputStream().read() < 0)
            throw new AssertionError("expected a reset, found the end of the stream");
        });
      }
      assertFalse(links.cut("n0", "counter", cutAt * 1000));
    }
  }
}
