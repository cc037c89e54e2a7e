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

/** Tests the emulated counter and the emulated discovery agent on loopback. */
class EmulatorTest {
  /**
   * While a {@code split} is active, the two groups have separate stores; {@code silent} holds
   * answers back; {@code empty} deletes all totals.
   */
  @Test
  void counterAppliesSplitSilentAndEmptyFaults() throws Exception {
    Scenario scenario = Scenario.parse("""
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
    Emulator emulator = new Emulator(scenario, clock);
    emulator.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    try {
      int firstPort = counterPort(emulator, 0);
      int secondPort = counterPort(emulator, 1);
      assertTrue(firstPort != secondPort,
          "expected a separate counter port for each node, found " + firstPort + " for both");
      try (CounterConnection first = new CounterConnection(firstPort);
          CounterConnection second = new CounterConnection(secondPort)) {
        assertEquals("ok 2", first.call("bump c1 2 60000"));
        // The 2 units are in the first group's store only.
        assertEquals("ok 3", second.call("bump c1 3 60000"));
        Thread.sleep(Math.max(0, 1_700 - (long) clock.nowMs()));
        long sentNanos = System.nanoTime();
        // The split has ended, so the first group's store counts; the answer is held until the
        // silent fault ends.
        assertEquals("ok 3", first.call("bump c1 1 60000"));
        double heldMs = (System.nanoTime() - sentNanos) / 1e6;
        assertTrue(heldMs > 500, "expected an answer after more than 500 ms, found " + heldMs);
        Thread.sleep(Math.max(0, 3_200 - (long) clock.nowMs()));
        // The total was deleted at 3 s.
        assertEquals("ok 1", first.call("bump c1 1 60000"));
      }
    } finally {
      emulator.stop();
    }
  }

  /** A watch receives a server's cold start only after the delay of a {@code late} fault. */
  @Test
  void discoveryPublishesColdStartLate() throws Exception {
    Scenario scenario = Scenario.parse("""
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
    Emulator emulator = new Emulator(scenario, clock);
    emulator.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    try {
      var config = JsonParser.parseString(emulator.nodeConfig(0)).getAsJsonObject();
      assertEquals(2, config.getAsJsonObject("known").getAsJsonArray("endpoints").size(),
          "s-2 must not be in the list before its cold start");
      String address = config.get("discovery").getAsString();
      try (Socket watch = new Socket(InetAddress.getLoopbackAddress(),
          Integer.parseInt(address.substring(address.indexOf(':') + 1)))) {
        watch.setSoTimeout(5_000);
        watch.getOutputStream()
            .write("GET /api/targets?follow=1&since=1 HTTP/1.1\r\nHost: x\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
        BufferedReader lines = new BufferedReader(
            new InputStreamReader(watch.getInputStream(), StandardCharsets.ISO_8859_1));
        double publishedAtMs = -1;
        for (String line = lines.readLine(); line != null
            && publishedAtMs < 0; line = lines.readLine()) {
          if (line.contains("\"s-2\"") && line.contains("Ready")
              && line.contains("\"snapshot\":false"))
            publishedAtMs = clock.nowMs();
        }
        assertTrue(publishedAtMs >= 1_500 && publishedAtMs < 2_500,
            "expected publication from 1500 to 2500 ms, found " + publishedAtMs);
      }
    } finally {
      emulator.stop();
    }
  }

  /**
   * A counter that serves ten calls per second, and lets three wait, receives eight calls at once:
   * it serves three one after another and rejects five.
   */
  @Test
  void counterServesCallsAtItsRateAndRejectsTheRest() throws Exception {
    Scenario scenario = Scenario.parse("""
        name = "narrow"
        nodes = 1
        [counter]
        calls_per_second = 10
        line = 3
        """);
    LabClock clock = new LabClock();
    Emulator emulator = new Emulator(scenario, clock);
    emulator.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    try (CounterConnection connection = new CounterConnection(counterPort(emulator, 0))) {
      double sentMs = clock.nowMs();
      connection.out.write("bump n 1 5000\r\n".repeat(8).getBytes(StandardCharsets.ISO_8859_1));
      StringBuilder answers = new StringBuilder();
      for (int i = 0; i < 8; i++) answers.append(connection.in.readLine()).append(' ');
      assertEquals("ok 1 ok 2 ok 3 busy busy busy busy busy ", answers.toString());
      assertTrue(clock.nowMs() - sentMs >= 300,
          "three calls at 10 per second must take at least 300 ms");
      assertEquals(5L, emulator.metrics().toCompletionStage().toCompletableFuture()
          .get(5, TimeUnit.SECONDS).get("counter_turned_away"));
    } finally {
      emulator.stop();
    }
  }

  private static int counterPort(Emulator emulator, int node) {
    String address = JsonParser.parseString(emulator.nodeConfig(node)).getAsJsonObject()
        .get("counter").getAsString();
    return Integer.parseInt(address.substring(address.indexOf(':') + 1));
  }

  /** A connection that speaks the counter's line protocol. */
  private static final class CounterConnection implements AutoCloseable {
    final Socket socket;
    final BufferedReader in;
    final OutputStream out;

    CounterConnection(int port) throws Exception {
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
