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

/** The rig's parts alone: what the schedule says, and what a relay makes of it on real sockets. */
class RigTest {
  private static LinkFault link(String kind, double atS, double forS, String from, String to,
      boolean oneWay, double share, double extraMs, double periodMs) {
    return new LinkFault(kind, atS, forS, from, to, oneWay, share, extraMs, periodMs);
  }

  @Test
  void groups() {
    Group g = Group.of("n0-2, n5,servers");
    assertEquals(List.of(0, 1, 2, 5), g.nodes(7));
    assertTrue(g.holds("s9") && !g.holds("counter") && !g.holds("n3"));
    assertThrows(IllegalArgumentException.class, () -> Group.of("n1,everybody"));
    assertThrows(IllegalArgumentException.class,
        () -> Scenario.parse("[[links.faults]]\nkind = \"cut\"\nfrom = \"n0\"\n"));
    assertThrows(IllegalArgumentException.class,
        () -> Scenario.parse("[[processes.faults]]\nkind = \"kill\"\nnodes = \"n9\"\n"));
  }

  @Test
  void oneWayCutAndFlap() {
    Links l = new Links(List.of(link("cut", 1, 2, "n1", "n2", true, 0, 0, 0),
        link("flap", 10, 2, "n3", "counter", false, 0, 0, 100)), 5);
    assertTrue(l.cut("n1", "n2", 1_000) && !l.cut("n2", "n1", 1_000) && !l.cut("n1", "n2", 3_000));
    assertTrue(l.cut("counter", "n3", 10_049) && !l.cut("n3", "counter", 10_051)
        && l.cut("n3", "counter", 10_101));
    assertTrue(l.everTouches("n2", "n1") && !l.everTouches("n1", "n3"));
  }

  /**
   * One seed, one fate; another link's traffic changes nothing; loss and duplicates come at their
   * shares.
   */
  @Property(tries = 50, seed = "17")
  void fatesAreReproducible(@ForAll long seed, @ForAll @IntRange(min = 1, max = 9) int tenths) {
    List<LinkFault> faults = List.of(link("loss", 0, 0, "n0", "n1", true, tenths / 10.0, 0, 0),
        link("duplicate", 0, 0, "n0", "n1", true, 0.5, 7, 0),
        link("reorder", 0, 0, "n0-1", "n2", false, 1, 30, 0));
    Links a = new Links(faults, seed);
    Links b = new Links(faults, seed);
    int lost = 0;
    int twice = 0;
    for (int i = 0; i < 400; i++) {
      List<Double> fate = a.datagram("n0", "n1", i);
      for (int k = 0; k < i % 3; k++) b.datagram("n1", "n2", i);
      assertEquals(fate, b.datagram("n0", "n1", i));
      lost += fate.isEmpty() ? 1 : 0;
      twice += fate.size() > 1 ? 1 : 0;
      for (double d : a.datagram("n2", "n1", i)) assertTrue(d >= 0 && d <= 30);
    }
    // Six standard deviations of 400 draws: 60 of them at the most, whatever the seed.
    assertTrue(Math.abs(lost - 40 * tenths) <= 60, lost + " of 400 lost at " + tenths + " tenths");
    assertTrue(Math.abs(twice - (400 - lost) / 2.0) <= 60, twice + " twice of " + (400 - lost));
  }

  @Test
  void rollingRestart() {
    List<Timeline.Step> t = Timeline
        .of(List.of(new ProcessFault("term", 2, 0, "n0-2", 5, true, 4.5, true),
            new ProcessFault("pause", 3, 8, "nodes", 0, false, 0, false)), 3);
    assertEquals(
        List.of("2000 TERM [0]", "3000 STOP [0, 1, 2]", "6500 START_OLD [0]", "7000 TERM [1]",
            "11000 CONT [0, 1, 2]", "11500 START_OLD [1]", "12000 TERM [2]", "16500 START_OLD [2]"),
        t.stream().map(s -> (long) s.atMs() + " " + s.action() + " " + s.nodes()).toList());
    assertEquals(Action.KILL, Timeline
        .of(List.of(new ProcessFault("kill", 0, 0, "n1", 0, false, 0, false)), 3).get(0).action());
  }

  @Test
  void frontNoticesLate() {
    LoadBalancer f = new LoadBalancer(3, 2_000);
    assertEquals(-1, f.route(0, 3, 0)); // none has answered yet
    for (int n = 0; n < 3; n++) f.recordPong(n, 0);
    List<Integer> dealt = new ArrayList<>();
    for (int i = 0; i < 4; i++) dealt.add(f.route(1, 2, 1_999));
    assertEquals(List.of(1, 2, 1, 2), dealt); // in turn, within the customer's set
    f.recordPong(2, 1_500);
    assertEquals(List.of(2, 2), List.of(f.route(1, 2, 2_001), f.route(1, 2, 2_001))); // n1 has died
    f.recordPong(1, 4_000);
    assertTrue(f.isHealthy(1, 4_000) && !f.isHealthy(2, 4_000));
  }

  /**
   * A cut is silent: what was written before it heals arrives then, in order, nothing ends, and
   * nobody new gets in.
   */
  @Test
  void cutConnectionIsSilentAndHeals() throws Exception {
    LabClock clock = new LabClock();
    double cutAt = clock.nowMs() / 1000 + 0.5;
    Links links = new Links(List.of(link("cut", cutAt, 1.5, "n0", "counter", false, 0, 0, 0)), 1);
    try (ServerSocket target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        LinkProxies relays = new LinkProxies(links, clock);
        Socket s = new Socket(InetAddress.getLoopbackAddress(),
            relays.port("n0", "counter", target.getLocalPort()));
        Socket t = target.accept()) {
      InetSocketAddress relay = (InetSocketAddress) s.getRemoteSocketAddress();
      // no fault, no relay
      assertEquals(target.getLocalPort(), relays.port("n1", "counter", target.getLocalPort()));
      t.setSoTimeout(300);
      s.getOutputStream().write('a');
      assertEquals('a', t.getInputStream().read());
      while (clock.nowMs() < cutAt * 1000 + 50) Thread.sleep(5);
      s.getOutputStream().write('b');
      s.shutdownOutput(); // its end waits too
      assertThrows(SocketTimeoutException.class, () -> t.getInputStream().read());
      for (int i = 0; i < 3; i++) {
        try (Socket late = new Socket()) {
          assertThrows(SocketTimeoutException.class, () -> late.connect(relay, 250));
        }
      }
      t.setSoTimeout(3_000);
      assertEquals('b', t.getInputStream().read());
      assertEquals(-1, t.getInputStream().read());
      assertTrue(clock.nowMs() >= (cutAt + 1.5) * 1000, "not before it healed");
      try (Socket late = new Socket()) {
        late.connect(relay, 3_000); // and new ones come up again
      }
      assertTrue(relays.delayUs().get("chunks") >= 1);
    }
  }

  /**
   * One way only: what the cut-off side says arrives, what it is told does not. A dead target
   * resets.
   */
  @Test
  void oneWayCutAndDeadTarget() throws Exception {
    LabClock clock = new LabClock();
    double cutAt = clock.nowMs() / 1000 + 0.3;
    Links links = new Links(List.of(link("cut", cutAt, 0.8, "counter", "n0", true, 0, 0, 0),
        link("delay", 0, 0, "n1", "counter", false, 0, 1, 0)), 1);
    try (LinkProxies relays = new LinkProxies(links, clock);
        ServerSocket target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      int port = target.getLocalPort();
      try (
          Socket s = new Socket(InetAddress.getLoopbackAddress(),
              relays.port("n0", "counter", port));
          Socket t = target.accept()) {
        while (clock.nowMs() < cutAt * 1000 + 50) Thread.sleep(5);
        s.getOutputStream().write('x');
        t.setSoTimeout(500);
        assertEquals('x', t.getInputStream().read());
        t.getOutputStream().write('y');
        s.setSoTimeout(200);
        assertThrows(SocketTimeoutException.class, () -> s.getInputStream().read());
        s.setSoTimeout(3_000);
        assertEquals('y', s.getInputStream().read());
      }
      int dead = relays.port("n1", "counter", port);
      target.close();
      try (Socket s = new Socket(InetAddress.getLoopbackAddress(), dead)) {
        s.setSoTimeout(3_000);
        assertThrows(IOException.class, () -> {
          if (s.getInputStream().read() < 0) throw new AssertionError("an end, not a reset");
        });
      }
      assertFalse(links.cut("n0", "counter", cutAt * 1000));
    }
  }
}
