package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import saltlatch.api.GatewayEvent;
import sun.misc.Signal;

/**
 * The history that a node leaves on disk, as the laboratory's checks read it: kinds, keys and words
 * of each line stay as they are whatever the code's own names become.
 */
@Timeout(60)
class HistoryLinesTest extends NodeHarness {
  private static final String REPLY = "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n";

  @TempDir private Path dir;

  @Override
  String configurationJson() throws IOException {
    return super.configurationJson().replace("\"settings\":",
        "\"history\":\"" + dir + "\",\"settings\":");
  }

  /** The lines so far, without the clock's readings and the process's own number. */
  private List<String> history() throws IOException {
    return Files.readAllLines(dir.resolve("n0.jsonl")).stream()
        .map(line -> line.replaceAll("\"timestamp\":\\d+", "\"timestamp\":T")
            .replaceAll("\"inc\":\"\\d+-\\d+\"", "\"inc\":\"I\"")
            .replaceAll("\"mono_ns\":\"?\\d+\"?", "\"mono_ns\":N"))
        .toList();
  }

  private static String line(String kind, String fields) {
    return "{\"timestamp\":T,\"kvpList\": [{\"name\":\"n0\"},{\"inc\":\"I\"},{\"mono_ns\":N}"
        + fields + "],\"message\":\"" + kind + "\"}";
  }

  private static String arrived(int id) {
    return line("arrived",
        ",{\"id\":\"" + (10 + id) + "\"},{\"customer\":\"7\"},{\"units\":\"1.0\"}"
            + ",{\"wait_ms\":\"900\"},{\"age_ms\":\"0\"},{\"query\":\"true\"}");
  }

  private static String dispatched(int id) {
    return line("dispatched", ",{\"id\":\"" + (10 + id)
        + "\"},{\"srv\":\"s-0\"},{\"dispatch\":\"0\"},{\"cap_ms\":\"8000\"}");
  }

  private static String ended(int id, String how) {
    return line("ended", ",{\"id\":\"" + (10 + id)
        + "\"},{\"srv\":\"s-0\"},{\"dispatch\":\"0\"},{\"how\":\"" + how + "\"}");
  }

  private static String answered(int id, String how) {
    return line("answered", ",{\"id\":\"" + (10 + id) + "\"},{\"how\":\"" + how + "\"}");
  }

  @Test
  void requestsAndTheirEnds() throws Exception {
    eventHandler = e -> {
      if (e instanceof GatewayEvent.RequestArrived a) {
        if (a.requestId() == 0 || a.requestId() == 3)
          actions.startAttempt(a.requestId(), 0, 80_000);
        if (a.requestId() == 1) actions.reject(1, 0);
        if (a.requestId() == 2) actions.fail(2);
      }
      if (e instanceof GatewayEvent.ClientDisconnected) actions.log("a client left");
    };
    Socket client = connectClient();
    send(client, queryCommand(0));
    Socket attempt = accept(appServer);
    readLines(attempt, 9);
    send(attempt, REPLY);
    assertEquals("$2 hi", readLines(client, 2));
    send(client, queryCommand(1));
    assertEquals("-BUSY", readLine(client));
    send(client, queryCommand(2));
    assertEquals("-ERR aborted", readLine(client));
    Thread.sleep(10); // at least: the connection has settled after its last answer, and is reused
    send(client, queryCommand(3));
    readLines(attempt, 9);
    attempt.close();
    for (int i = 0; i < 6; i++) nextEventText(); // four arrived, two attempts ended
    client.close();
    assertEquals("left 3", nextEventText());
    while (history().size() < 15) Thread.onSpinWait();
    assertEquals(List.of(line("started", ",{\"nodes\":\"1\"}"), line("ready", ""), arrived(0),
        dispatched(0), ended(0, "ANSWERED"), answered(0, "passed"), arrived(1),
        answered(1, "denied"), arrived(2), answered(2, "aborted"), arrived(3), dispatched(3),
        ended(3, "BROKE_WRITTEN"), answered(3, "left"),
        line("note", ",{\"text\":\"a client left\"}")), history().subList(0, 15));
  }

  @Test
  void configurationReadAnew() throws Exception {
    Path path = Files.writeString(dir.resolve("config.json"), configurationJson());
    node.reloadOn(new ReloadSignal(), path);
    Signal.raise(new Signal("HUP"));
    accept(discovery);
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (history().size() < 3 && System.nanoTime() < end) Thread.sleep(1);
    assertEquals(line("reloaded", ""), history().get(2));
  }

  /** A node of a fleet says what it makes of it, and which part of a quota it may use alone. */
  @Test
  void membership() throws Exception {
    String two = configurationJson().replace("\"peersTotal\":1", "\"peersTotal\":2")
        .replace("\"familyInfo\":{", "\"familyInfo\":{\"peerInPerS\":40,")
        .replace("\"peers\":[", "\"membership\":true,\"peers\":[\"127.0.0.1:9\",")
        .replace("\"name\":\"n0\"", "\"name\":\"n7\"");
    EdgeNode member = new EdgeNode(NodeConfigurationReader.read(two));
    member.start((now, site, out) -> (at, events) -> {}).toCompletionStage().toCompletableFuture()
        .get();
    member.stop().toCompletionStage().toCompletableFuture().get();
    List<String> lines = Files.readAllLines(dir.resolve("n7.jsonl"));
    assertTrue(lines.stream().anyMatch(
        line -> line.matches(".*\\{\"is\":\"floor\"},\\{\"part\":\"0.125\"},\\{\"whole\":\"0.5\"},"
            + "\\{\"floor\":\"0.125\"},\\{\"holds_ms\":\"\\d+\"},\\{\"takes_ms\":\"0\"}],\"message\":\"share\"}")),
        lines.toString());
    assertTrue(lines.stream().anyMatch(line -> line.matches(
        ".*\\{\"is\":\"alone\"},\\{\"live\":\"1\"},\\{\"view\":\"\\d+\"}],\"message\":\"standing\"}")),
        lines.toString());
    assertTrue(lines.stream().anyMatch(line -> line.matches(
        ".*\\{\"member\":\"n0\"},\\{\"state\":\"alive\"},\\{\"incarnation\":\"\\d+\"},\\{\"view\":\"\\d+\"}],"
            + "\"message\":\"member\"}")),
        lines.toString());
  }
}
