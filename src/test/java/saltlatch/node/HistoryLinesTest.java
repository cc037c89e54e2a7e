package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import saltlatch.api.GatewayEvent;
import sun.misc.Signal;

/**
 * Checks the history file that a node writes, as the laboratory's checks read it. The kinds, keys
 * and words of the lines must not change when names in the code do.
 */
@Timeout(60)
class HistoryLinesTest extends NodeHarness {
  private static final String REPLY = "*3\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n";

  private final long startNanos = System.nanoTime();
  @TempDir private Path directory;

  @Override
  String configurationJson() throws IOException {
    return super.configurationJson().replace("\"settings\":",
        "\"history\":\"" + directory + "\",\"settings\":");
  }

  /** Returns the lines so far, with fixed text for clock readings and the process's incarnation. */
  private List<String> historyLines() throws IOException {
    return Files.readAllLines(directory.resolve("n0.jsonl")).stream()
        .map(line -> line.replaceAll("\"timestamp\":\\d+", "\"timestamp\":T")
            .replaceAll("\"inc\":\"\\d+-\\d+\"", "\"inc\":\"I\"")
            .replaceAll("\"mono_ns\":\"?\\d+\"?", "\"mono_ns\":N").replaceAll(
                "\"age_ms\":\"(\\d+)\"", "\"age_ms\":" + (ageMs(line) <= elapsedMs() ? "A" : "$1")))
        .toList();
  }

  private long elapsedMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Returns the age of a request that has arrived, 0 in any other line. */
  private static long ageMs(String line) {
    Matcher age = Pattern.compile("\"age_ms\":\"(\\d+)\"").matcher(line);
    return age.find() ? Long.parseLong(age.group(1)) : 0;
  }

  private static String line(String kind, String fields) {
    return "{\"timestamp\":T,\"kvpList\": [{\"name\":\"n0\"},{\"inc\":\"I\"},{\"mono_ns\":N}"
        + fields + "],\"message\":\"" + kind + "\"}";
  }

  private static String arrivedLine(int id) {
    return line("arrived",
        ",{\"id\":\"" + (10 + id) + "\"},{\"customer\":\"7\"},{\"units\":\"1.0\"}"
            + ",{\"wait_ms\":\"900\"},{\"age_ms\":A},{\"query\":\"true\"}");
  }

  private static String dispatchedLine(int id) {
    return line("dispatched", ",{\"id\":\"" + (10 + id)
        + "\"},{\"srv\":\"s-0\"},{\"dispatch\":\"0\"},{\"cap_ms\":\"8000\"}");
  }

  private static String endedLine(int id, String outcome) {
    return line("ended", ",{\"id\":\"" + (10 + id)
        + "\"},{\"srv\":\"s-0\"},{\"dispatch\":\"0\"},{\"how\":\"" + outcome + "\"}");
  }

  private static String answeredLine(int id, String outcome) {
    return line("answered", ",{\"id\":\"" + (10 + id) + "\"},{\"how\":\"" + outcome + "\"}");
  }

  @Test
  void writesRequestsAttemptsAndResponses() throws Exception {
    eventHandler = event -> {
      if (event instanceof GatewayEvent.RequestArrived arrived) {
        if (arrived.requestId() == 0 || arrived.requestId() == 3)
          actions.startAttempt(arrived.requestId(), 0, 80_000);
        if (arrived.requestId() == 1) actions.reject(1, 0);
        if (arrived.requestId() == 2) actions.fail(2);
      }
      if (event instanceof GatewayEvent.ClientDisconnected) actions.log("a client left");
    };
    Socket client = connectClient();
    send(client, queryCommand(0));
    Socket connection = accept(appServer);
    readLines(connection, 9);
    send(connection, REPLY);
    assertEquals("$2 hi", readLines(client, 2));
    send(client, queryCommand(1));
    assertEquals("-BUSY", readLine(client));
    send(client, queryCommand(2));
    assertEquals("-ERR aborted", readLine(client));
    Thread.sleep(10); // lets the connection become idle, so that it is reused
    send(client, queryCommand(3));
    readLines(connection, 9);
    connection.close();
    for (int i = 0; i < 6; i++) nextEventText(); // four arrived, two attempts ended
    client.close();
    assertEquals("left 3", nextEventText());
    while (historyLines().size() < 15) Thread.onSpinWait();
    assertEquals(List.of(line("started", ",{\"nodes\":\"1\"}"), line("ready", ""), arrivedLine(0),
        dispatchedLine(0), endedLine(0, "ANSWERED"), answeredLine(0, "passed"), arrivedLine(1),
        answeredLine(1, "denied"), arrivedLine(2), answeredLine(2, "aborted"), arrivedLine(3),
        dispatchedLine(3), endedLine(3, "BROKE_WRITTEN"), answeredLine(3, "left"),
        line("note", ",{\"text\":\"a client left\"}")), historyLines().subList(0, 15));
  }

  @Test
  void writesAReload() throws Exception {
    Path path = Files.writeString(directory.resolve("config.json"), configurationJson());
    node.reloadOn(new ReloadSignal(), path);
    Signal.raise(new Signal("HUP"));
    accept(discovery);
    long giveUpAtNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (historyLines().size() < 3 && System.nanoTime() < giveUpAtNanos) Thread.sleep(1);
    assertEquals(line("reloaded", ""), historyLines().get(2));
  }

  /** A node of a fleet writes its view of the fleet and the quota share that it may use alone. */
  @Test
  void writesMembershipAndQuotaShare() throws Exception {
    String twoNodeConfiguration = configurationJson()
        .replace("\"peersTotal\":1", "\"peersTotal\":2")
        .replace("\"familyInfo\":{", "\"familyInfo\":{\"peerInPerS\":40,")
        .replace("\"peers\":[", "\"membership\":true,\"peers\":[\"127.0.0.1:9\",")
        .replace("\"name\":\"n0\"", "\"name\":\"n7\"");
    EdgeNode fleetNode = new EdgeNode(NodeConfigurationReader.read(twoNodeConfiguration));
    fleetNode.start((nowTicks, settings, policyActions) -> (eventTicks, events) -> {})
        .toCompletionStage().toCompletableFuture().get();
    fleetNode.stop().toCompletionStage().toCompletableFuture().get();
    List<String> lines = Files.readAllLines(directory.resolve("n7.jsonl"));
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
