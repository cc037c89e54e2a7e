package saltlatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Checks the simulated discovery server over real HTTP: the first line of a watch, the changes
 * after it, and the byte counter.
 */
class SourceTest {
  private static final int ENTRIES = 50;

  private final HttpClient http = HttpClient.newHttpClient();
  private final StringWriter puts = new StringWriter();
  private Source source;
  private int port;

  private void start(long series) throws Exception {
    source = new Source(new SourceList(ENTRIES, 1, series), 0, puts);
    port = source.start("127.0.0.1", 0).toCompletionStage().toCompletableFuture().get(10,
        TimeUnit.SECONDS);
  }

  @AfterEach
  void stop() throws Exception {
    source.stop().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private URI uri(String path) {
    return URI.create("http://127.0.0.1:" + port + path);
  }

  private JsonObject figures() throws Exception {
    return JsonParser.parseString(http
        .send(HttpRequest.newBuilder(uri("/lab/figures")).build(), BodyHandlers.ofString()).body())
        .getAsJsonObject();
  }

  private void rate(double perSecond) throws Exception {
    http.send(HttpRequest.newBuilder(uri("/lab/rate?per_second=" + perSecond))
        .POST(HttpRequest.BodyPublishers.noBody()).build(), BodyHandlers.ofString());
  }

  private BufferedReader watch(long since) throws IOException, InterruptedException {
    return new BufferedReader(new InputStreamReader(
        http.send(HttpRequest.newBuilder(uri("/api/targets?follow=1&since=" + since)).build(),
            BodyHandlers.ofInputStream()).body(),
        StandardCharsets.UTF_8));
  }

  /** Returns the next line that is not empty. */
  private static JsonObject next(BufferedReader lines) throws IOException {
    String line = lines.readLine();
    while (line.isEmpty()) line = lines.readLine();
    return JsonParser.parseString(line).getAsJsonObject();
  }

  @Test
  void sendsTheCompleteListToANewWatcherAndThenEachChange() throws Exception {
    start(0);
    BufferedReader lines = watch(0);
    JsonObject first = next(lines);
    assertTrue(first.get("snapshot").getAsBoolean());
    assertEquals(ENTRIES, first.getAsJsonArray("endpoints").size());
    assertEquals(1, first.get("index").getAsLong());
    assertFalse(first.has("series"));
    rate(100);
    for (long index = 2; index <= 6; index++) {
      JsonObject change = next(lines);
      assertFalse(change.get("snapshot").getAsBoolean());
      assertEquals(index, change.get("index").getAsLong());
      assertEquals(1, change.getAsJsonArray("endpoints").size());
    }
    rate(0);
    long recordedChanges = puts.toString().lines().count();
    assertEquals(figures().get("index").getAsLong() - 1, recordedChanges,
        "expected a recorded line for each change");
  }

  @Test
  void sendsMissedChangesToAWatcherThatResumes() throws Exception {
    start(77);
    rate(200);
    BufferedReader watcher = watch(1);
    long index = 0;
    while (index < 30) index = next(watcher).get("index").getAsLong();
    rate(0);
    index = figures().get("index").getAsLong();
    JsonObject resumed = next(watch(20));
    assertFalse(resumed.get("snapshot").getAsBoolean());
    assertEquals(index, resumed.get("index").getAsLong());
    assertEquals(77, resumed.get("series").getAsLong());
    int missed = resumed.getAsJsonArray("endpoints").size();
    assertTrue(missed > 0 && missed <= index - 20,
        "expected 1 to " + (index - 20) + " missed entries, found " + missed);
    JsonObject unchanged = next(watch(index));
    assertEquals(0, unchanged.getAsJsonArray("endpoints").size(),
        "expected no changes after the current index");
    assertTrue(next(watch(index + 9)).get("snapshot").getAsBoolean(),
        "expected the complete list after an index that was never reached");
    assertEquals(1, figures().get("snapshots").getAsLong());
  }

  /**
   * Guards against bytes that the counter misses, such as headers: compares it with the bytes that
   * raw sockets read.
   */
  @Test
  void countsEveryByteSentIncludingHeaders() throws Exception {
    start(0);
    int bytesRead = get("/api/targets").length() + get("/api/targets").length();
    get("/lab/figures"); // the laboratory's requests are not counted
    assertEquals(bytesRead, figures().get("bytes_out").getAsInt());
  }

  private static String request(String path) {
    return "GET " + path + " HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
  }

  private String get(String path) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(request(path).getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }
}
