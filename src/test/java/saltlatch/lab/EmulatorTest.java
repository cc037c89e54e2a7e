package saltlatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.emulator.Emulator;
import saltlatch.lab.scenario.Scenario;

/**
 * The counter stand-in on loopback: a split keeps two stores, a silence holds answers, an empty
 * forgets.
 */
class EmulatorTest {
  @Test
  void counterSplitsFallsSilentAndComesBackEmpty() throws Exception {
    Scenario s = Scenario.parse("""
        seed = 1
        seconds = 5
        nodes = 2
        [[counter.faults]]
        kind = "split"
        at_s = 0
        for_s = 1.5
        groups = 2
        [[counter.faults]]
        kind = "silent"
        at_s = 1.5
        for_s = 1
        [[counter.faults]]
        kind = "empty"
        at_s = 3
        """);
    LabClock clock = new LabClock();
    Emulator e = new Emulator(s, clock);
    e.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    try {
      int a = counterPort(e, 0);
      int b = counterPort(e, 1);
      assertTrue(a != b, "a split gives each group its own address");
      try (Line one = new Line(a); Line two = new Line(b)) {
        assertEquals("ok 2", one.call("bump c1 2 60000"));
        assertEquals("ok 3", two.call("bump c1 3 60000")); // the other side does not see the 2
        Thread.sleep(Math.max(0, 1_700 - (long) clock.nowMs()));
        long sent = System.nanoTime();
        // healed: side one's store; held to the silence's end
        assertEquals("ok 3", one.call("bump c1 1 60000"));
        double heldMs = (System.nanoTime() - sent) / 1e6;
        assertTrue(heldMs > 500, "held " + heldMs + " ms");
        Thread.sleep(Math.max(0, 3_200 - (long) clock.nowMs()));
        assertEquals("ok 1", one.call("bump c1 1 60000")); // back empty
      }
    } finally {
      e.stop();
    }
  }

  /**
   * A server's cold start reaches a watch only after a {@code late} fault's delay; a plain fetch
   * shows it then too.
   */
  @Test
  void discoveryTellsAColdStartLate() throws Exception {
    Scenario s = Scenario.parse("""
        seed = 1
        seconds = 5
        [servers]
        count = 3
        [[servers.faults]]
        kind = "cold_start"
        at_s = 0.5
        ramp_s = 2
        first = 2
        count = 1
        [[discovery.faults]]
        kind = "late"
        at_s = 0
        extra_ms = 1000
        """);
    LabClock clock = new LabClock();
    Emulator e = new Emulator(s, clock);
    e.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    try {
      var config = JsonParser.parseString(e.nodeConfig(0)).getAsJsonObject();
      assertEquals(2, config.getAsJsonObject("known").getAsJsonArray("endpoints").size(),
          "s-2 not started yet");
      String address = config.get("discovery").getAsString();
      try (Socket watch = new Socket(InetAddress.getLoopbackAddress(),
          Integer.parseInt(address.substring(address.indexOf(':') + 1)))) {
        watch.setSoTimeout(5_000);
        watch.getOutputStream()
            .write("GET /api/targets?follow=1&since=1 HTTP/1.1\r\nHost: x\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
        BufferedReader in = new BufferedReader(
            new InputStreamReader(watch.getInputStream(), StandardCharsets.ISO_8859_1));
        double toldAt = -1;
        for (String line = in.readLine(); line != null && toldAt < 0; line = in.readLine()) {
          if (line.contains("\"s-2\"") && line.contains("Ready")
              && line.contains("\"snapshot\":false"))
            toldAt = clock.nowMs();
        }
        assertTrue(toldAt >= 1_500 && toldAt < 2_500, "told at " + toldAt + " ms");
      }
    } finally {
      e.stop();
    }
  }

  /**
   * A counter of ten calls a second, with three that may wait: of eight at once it serves three in
   * turn.
   */
  @Test
  void counterServesInTurn() throws Exception {
    Scenario s = Scenario.parse("""
        name = "narrow"
        nodes = 1
        [counter]
        calls_per_second = 10
        line = 3
        """);
    LabClock clock = new LabClock();
    Emulator e = new Emulator(s, clock);
    e.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    try (Line one = new Line(counterPort(e, 0))) {
      double from = clock.nowMs();
      one.out.write("bump n 1 5000\r\n".repeat(8).getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder seen = new StringBuilder();
      for (int i = 0; i < 8; i++) seen.append(one.in.readLine()).append(' ');
      assertEquals("ok 1 ok 2 ok 3 busy busy busy busy busy ", seen.toString());
      assertTrue(clock.nowMs() - from >= 300, "in turn");
      assertEquals(5L, e.metrics().toCompletionStage().toCompletableFuture()
          .get(5, TimeUnit.SECONDS).get("counter_turned_away"));
    } finally {
      e.stop();
    }
  }

  private static int counterPort(Emulator e, int node) {
    String address = JsonParser.parseString(e.nodeConfig(node)).getAsJsonObject().get("counter")
        .getAsString();
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }

  /** One connection speaking the counter's lines. */
  private static final class Line implements AutoCloseable {
    final Socket socket;
    final BufferedReader in;
    final OutputStream out;

    Line(int port) throws Exception {
      socket = new Socket(InetAddress.getLoopbackAddress(), port);
      socket.setSoTimeout(5_000);
      in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      out = socket.getOutputStream();
    }

    String call(String line) throws Exception {
      out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      return in.readLine();
    }

    @Override
    public void close() throws Exception {
      socket.close();
    }
  }
}
