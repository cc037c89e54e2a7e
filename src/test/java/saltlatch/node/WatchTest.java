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
 * A list watch that goes wrong, each way on a real connection. A change counts as told 6 s after
 * discovery had it and could be reached, so the next watch has to be open before that: 4.5 s of
 * silence, or 2 s without a beginning, and at most 1 s apart.
 */
@Timeout(60)
class WatchTest extends NodeHarness {
  private static final long TOLD_MS = 6_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static String list(int index, boolean whole, String name, String status) {
    return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[{\"name\":\"" + name
        + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"m\",\"group\":3,\"status\":\""
        + status + "\",\"weight\":1.0,\"since_ms\":0}]}\n";
  }

  private static void chunk(Socket s, String body) throws IOException {
    send(s, Integer.toHexString(body.length()) + "\r\n" + body + "\r\n");
  }

  /** Waits for the next watch, and tells how long that took. */
  private long nextWatch(long since, String asks) throws IOException {
    Socket s = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=" + asks + " HTTP/1.1", readLine(s));
    last = s;
    return (System.nanoTime() - since) / 1_000_000;
  }

  private Socket last;

  private Socket first() throws IOException {
    nextWatch(System.nanoTime(), "1");
    return last;
  }

  /** The bound with its worst start: the line before the silence came just then. */
  @Test
  void fallsSilent() throws Exception {
    Socket s = first();
    sendFirstChunk(s, list(2, false, "s-1", "Ready"));
    assertEquals("listed DELTA [1 READY]", nextEventText());
    long since = System.nanoTime();
    long took = nextWatch(since, "2");
    assertTrue(took > 4_000 && took < TOLD_MS - 500, took + " ms");
    assertEquals("closed", restOf(s));
    sendFirstChunk(last, list(3, false, "s-1", "Terminating"));
    assertEquals("listed DELTA [1 DRAINING]", nextEventText());
  }

  /** The agent takes the connection and says nothing, as while discovery is down. */
  @Test
  void opensIntoSilence() throws Exception {
    first();
    long took = nextWatch(System.nanoTime(), "1");
    assertTrue(took < 3_000, took + " ms");
    long again = nextWatch(System.nanoTime(), "1"); // and so on, until there is one that answers
    assertTrue(again < 3_000, again + " ms");
    sendFirstChunk(last, list(2, false, "s-1", "Ready"));
    assertEquals("listed DELTA [1 READY]", nextEventText());
  }

  /** A beginning without an end is no line: bytes that trickle keep no watch alive. */
  @Test
  void firstLineNeverEnds() throws Exception {
    Socket s = first();
    long since = System.nanoTime();
    send(s, HEAD);
    CountDownLatch over = new CountDownLatch(1);
    Thread trickle = new Thread(() -> {
      try {
        while (over.getCount() > 0) {
          chunk(s, "{\"index\": ");
          Thread.sleep(50);
        }
      } catch (IOException | InterruptedException e) {
        // the node has closed it
      }
    });
    trickle.start();
    long took = nextWatch(since, "1");
    over.countDown();
    trickle.join();
    assertTrue(took < 3_000, took + " ms");
  }

  @Test
  void isReset() throws Exception {
    Socket s = first();
    long since = System.nanoTime();
    sendFirstChunk(s, list(2, false, "s-1", "Ready"));
    assertEquals("listed DELTA [1 READY]", nextEventText());
    s.setSoLinger(true, 0);
    s.close();
    long took = nextWatch(since, "2");
    assertTrue(took < 1_500, took + " ms");
  }

  @Test
  void isRefused() throws Exception {
    Socket s = first();
    int port = discovery.getLocalPort();
    discovery.close();
    s.close();
    while (!has("watches_broken=2")) Thread.onSpinWait(); // one that ended, one that was refused
    discovery = new java.net.ServerSocket(port, 50, java.net.InetAddress.getLoopbackAddress());
    discovery.setSoTimeout(20_000);
    long took = nextWatch(System.nanoTime(), "1");
    assertTrue(took < 1_500, took + " ms");
  }

  private boolean has(String figure) throws IOException {
    try (Socket asking = new Socket(java.net.InetAddress.getLoopbackAddress(), node.port())) {
      return infoLines(asking).contains(figure);
    }
  }

  /** What comes with another status is no list, and a chunk that is cut off ends the watch. */
  @Test
  void otherStatusAndCutChunk() throws Exception {
    String body = list(9, true, "s-9", "Ready");
    send(first(), "HTTP/1.1 503 Down\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    nextWatch(System.nanoTime(), "1");
    send(last, HEAD + "400\r\n{\"index\":9,\"sna");
    last.close();
    nextWatch(System.nanoTime(), "1");
    sendFirstChunk(last, list(2, true, "s-2", "Ready"));
    assertEquals("listed SNAPSHOT [1 READY]", nextEventText());
  }

  /**
   * A list over several lines, as when discovery indents what it writes, in pieces that cut it
   * anywhere.
   */
  @Test
  void indented() throws Exception {
    Socket s = first();
    String text = list(2, true, "s-\\\"}{", "Ready").trim().replace(",", ",\n    ")
        .replace("{\"index", "{\n  \"index") + "\n";
    send(s, HEAD);
    for (int i = 0; i < text.length(); i += 7)
      chunk(s, text.substring(i, Math.min(text.length(), i + 7)));
    chunk(s, "\n" + list(3, false, "s-3", "Terminating"));
    assertEquals("listed SNAPSHOT [1 READY] listed DELTA [2 DRAINING]",
        nextEventText() + " " + nextEventText());
  }

  /**
   * An agent that is behind, before or after SIGHUP, does not turn the list back; nor does the old
   * one's late word.
   */
  @Test
  void olderListsArePassedOver(@TempDir Path dir) throws Exception {
    Path path = dir.resolve("config.json");
    node.reloadOn(new ReloadSignal(), path);
    Socket old = first();
    sendFirstChunk(old, list(7, false, "s-1", "Terminating"));
    assertEquals("listed DELTA [1 DRAINING]", nextEventText());
    java.net.ServerSocket was = discovery;
    discovery = openServerSocket();
    Files.writeString(path, configurationJson());
    Signal.raise(new Signal("HUP"));
    nextWatch(System.nanoTime(), "7");
    try {
      chunk(old, list(8, false, "s-1", "Ready"));
    } catch (IOException e) {
      // closed already, as it should be
    }
    sendFirstChunk(last, list(5, true, "s-1", "Ready") + list(6, false, "s-1", "Ready")
        + list(8, false, "s-4", "Ready"));
    assertEquals("listed DELTA [2 READY]", nextEventText());
    was.close();
  }

  /**
   * An address that can't be used, or an entry of another type: the change is asked for again, and
   * none of it is half taken.
   */
  @Test
  void malformedListsAreAskedForAgain() throws Exception {
    String good = list(2, false, "s-1", "Ready");
    String[] bad = {good.replace("127.0.0.1:9", "nowhere"),
        good.replace("127.0.0.1:9", "127.0.0.1:x"), good.replace("\"127.0.0.1:9\"", "{}"),
        good.replace("Ready", "Sleeping"), good.replace("127.0.0.1:9", ""),
        good.replace("\"since_ms\":0", "\"since_ms\":\"soon\""), "[]\n", "all is well\n"};
    for (String one : bad) {
      first();
      // what comes behind it is no help: it would hide what is missing
      sendFirstChunk(last, one + list(3, false, "s-3", "Ready"));
    }
    first();
    sendFirstChunk(last, good);
    assertEquals("listed DELTA [1 READY]", nextEventText());
  }

  private static String restOf(Socket s) throws IOException {
    try {
      String line = "";
      while (!line.equals("closed")) line = readLine(s);
    } catch (java.net.SocketException e) {
      // reset: closed as well
    }
    return "closed";
  }
}
