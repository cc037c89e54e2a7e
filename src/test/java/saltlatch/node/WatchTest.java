package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;

/**
 * Failures of the watch on the discovery agent, each on a real connection. A node must receive a
 * change within 6 s after discovery has it and can be reached, so it must have reopened a failed
 * watch before that. It gives up a watch after 4.5 s of silence, or after 2 s without a complete
 * first line, and opens the next one at most 1 s later.
 */
@Timeout(60)
class WatchTest extends NodeHarness {
  private static final long MAX_DELIVERY_MS = 6_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static String listJson(int index, boolean snapshot, String name, String status) {
    return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[{\"name\":\""
        + name
        + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"m\",\"group\":3,\"status\":\""
        + status + "\",\"weight\":1.0,\"since_ms\":0}]}\n";
  }

  private static void sendChunk(Socket socket, String body) throws IOException {
    send(socket, Integer.toHexString(body.length()) + "\r\n" + body + "\r\n");
  }

  /** Accepts the next watch and returns the time from {@code startNanos} to then, in ms. */
  private long acceptWatchMs(long startNanos, String sinceIndex) throws IOException {
    Socket watch = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=" + sinceIndex + " HTTP/1.1", readLine(watch));
    latestWatch = watch;
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private Socket latestWatch;

  private Socket acceptFirstWatch() throws IOException {
    acceptWatchMs(System.nanoTime(), "1");
    return latestWatch;
  }

  /** The worst case for the bound: the last line arrives just before the silence begins. */
  @Test
  void reopensASilentWatch() throws Exception {
    Socket watch = acceptFirstWatch();
    sendFirstChunk(watch, listJson(2, false, "s-1", "Ready"));
    assertEquals("listed DELTA [1 READY]", nextEventText());
    long startNanos = System.nanoTime();
    long elapsedMs = acceptWatchMs(startNanos, "2");
    assertTrue(elapsedMs > 4_000 && elapsedMs < MAX_DELIVERY_MS - 500, elapsedMs + " ms");
    assertEquals("closed", readToEnd(watch));
    sendFirstChunk(latestWatch, listJson(3, false, "s-1", "Terminating"));
    assertEquals("listed DELTA [1 DRAINING]", nextEventText());
  }

  /** The agent accepts the connection and sends nothing, as happens while discovery is down. */
  @Test
  void reopensAWatchThatGetsNoResponse() throws Exception {
    acceptFirstWatch();
    long elapsedMs = acceptWatchMs(System.nanoTime(), "1");
    assertTrue(elapsedMs < 3_000, elapsedMs + " ms");
    // the node tries again until discovery responds
    long secondElapsedMs = acceptWatchMs(System.nanoTime(), "1");
    assertTrue(secondElapsedMs < 3_000, secondElapsedMs + " ms");
    sendFirstChunk(latestWatch, listJson(2, false, "s-1", "Ready"));
    assertEquals("listed DELTA [1 READY]", nextEventText());
  }

  /** Bytes that trickle in do not keep a watch open as long as they do not complete a line. */
  @Test
  void reopensAWatchWhoseFirstLineNeverEnds() throws Exception {
    Socket watch = acceptFirstWatch();
    long startNanos = System.nanoTime();
    send(watch, HEAD);
    CountDownLatch stopTrickle = new CountDownLatch(1);
    Thread trickleThread = new Thread(() -> {
      try {
        while (stopTrickle.getCount() > 0) {
          sendChunk(watch, "{\"index\": ");
          Thread.sleep(50);
        }
      } catch (IOException | InterruptedException e) {
        // expected: the node has closed the connection
      }
    });
    trickleThread.start();
    long elapsedMs = acceptWatchMs(startNanos, "1");
    stopTrickle.countDown();
    trickleThread.join();
    assertTrue(elapsedMs < 3_000, elapsedMs + " ms");
  }

  @Test
  void reopensAWatchThatIsReset() throws Exception {
    Socket watch = acceptFirstWatch();
    long startNanos = System.nanoTime();
    sendFirstChunk(watch, listJson(2, false, "s-1", "Ready"));
    assertEquals("listed DELTA [1 READY]", nextEventText());
    watch.setSoLinger(true, 0);
    watch.close();
    long elapsedMs = acceptWatchMs(startNanos, "2");
    assertTrue(elapsedMs < 1_500, elapsedMs + " ms");
  }

  @Test
  void reopensAWatchThatIsRefused() throws Exception {
    Socket watch = acceptFirstWatch();
    int port = discovery.getLocalPort();
    discovery.close();
    watch.close();
    // one was closed, one was refused
    while (!infoContains("watches_broken=2")) Thread.onSpinWait();
    discovery = new java.net.ServerSocket(port, 50, java.net.InetAddress.getLoopbackAddress());
    discovery.setSoTimeout(20_000);
    long elapsedMs = acceptWatchMs(System.nanoTime(), "1");
    assertTrue(elapsedMs < 1_500, elapsedMs + " ms");
  }

  private boolean infoContains(String metric) throws IOException {
    try (Socket client = new Socket(java.net.InetAddress.getLoopbackAddress(), node.port())) {
      return infoLines(client).contains(metric);
    }
  }

  /** The body of a response with an error status is ignored; a truncated chunk ends the watch. */
  @Test
  void ignoresErrorStatusesAndTruncatedChunks() throws Exception {
    String body = listJson(9, true, "s-9", "Ready");
    send(acceptFirstWatch(),
        "HTTP/1.1 503 Down\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    acceptWatchMs(System.nanoTime(), "1");
    send(latestWatch, HEAD + "400\r\n{\"index\":9,\"sna");
    latestWatch.close();
    acceptWatchMs(System.nanoTime(), "1");
    sendFirstChunk(latestWatch, listJson(2, true, "s-2", "Ready"));
    assertEquals("listed SNAPSHOT [1 READY]", nextEventText());
  }

  /** An indented list spans several lines, and chunks may split it at any position. */
  @Test
  void acceptsAnIndentedListInSmallChunks() throws Exception {
    Socket watch = acceptFirstWatch();
    String text = listJson(2, true, "s-\\\"}{", "Ready").trim().replace(",", ",\n    ")
        .replace("{\"index", "{\n  \"index") + "\n";
    send(watch, HEAD);
    for (int i = 0; i < text.length(); i += 7)
      sendChunk(watch, text.substring(i, Math.min(text.length(), i + 7)));
    sendChunk(watch, "\n" + listJson(3, false, "s-3", "Terminating"));
    assertEquals("listed SNAPSHOT [1 READY] listed DELTA [2 DRAINING]",
        nextEventText() + " " + nextEventText());
  }

  /**
   * A list with an older index than the one applied does not revert it, neither from the same agent
   * nor from another after SIGHUP. Lines that the old agent sends late are ignored as well.
   */
  @Test
  void ignoresOlderLists(@TempDir Path dir) throws Exception {
    Path path = dir.resolve("config.json");
    node.reloadOn(new ReloadSignal(), path);
    Socket oldWatch = acceptFirstWatch();
    sendFirstChunk(oldWatch, listJson(7, false, "s-1", "Terminating"));
    assertEquals("listed DELTA [1 DRAINING]", nextEventText());
    java.net.ServerSocket oldDiscovery = discovery;
    discovery = openServerSocket();
    Files.writeString(path, configurationJson());
    Signal.raise(new Signal("HUP"));
    acceptWatchMs(System.nanoTime(), "7");
    try {
      sendChunk(oldWatch, listJson(8, false, "s-1", "Ready"));
    } catch (IOException e) {
      // expected: the node may have closed the connection already
    }
    sendFirstChunk(latestWatch, listJson(5, true, "s-1", "Ready")
        + listJson(6, false, "s-1", "Ready") + listJson(8, false, "s-4", "Ready"));
    assertEquals("listed DELTA [2 READY]", nextEventText());
    oldDiscovery.close();
  }

  /**
   * If an entry has an unusable address or a value of the wrong type, the node applies no part of
   * the change and requests it again.
   */
  @Test
  void requestsMalformedListsAgain() throws Exception {
    String valid = listJson(2, false, "s-1", "Ready");
    String[] malformed = {valid.replace("127.0.0.1:9", "nowhere"),
        valid.replace("127.0.0.1:9", "127.0.0.1:x"), valid.replace("\"127.0.0.1:9\"", "{}"),
        valid.replace("Ready", "Sleeping"), valid.replace("127.0.0.1:9", ""),
        valid.replace("\"since_ms\":0", "\"since_ms\":\"soon\""), "[]\n", "all is well\n"};
    for (String change : malformed) {
      acceptFirstWatch();
      // the next change must not be applied: it would hide that this one is missing
      sendFirstChunk(latestWatch, change + listJson(3, false, "s-3", "Ready"));
    }
    acceptFirstWatch();
    sendFirstChunk(latestWatch, valid);
    assertEquals("listed DELTA [1 READY]", nextEventText());
  }

  private static String readToEnd(Socket socket) throws IOException {
    try {
      String line = "";
      while (!line.equals("closed")) line = readLine(socket);
    } catch (java.net.SocketException e) {
      // a reset closes the connection as well
    }
    return "closed";
  }
}
