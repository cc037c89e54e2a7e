package saltlatch.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Acts as discovery or as a relay of the tier above; the test's thread writes every byte. */
final class TestUpstream implements AutoCloseable {
  private final ServerSocket server;
  private Socket watch;

  TestUpstream() throws IOException {
    this(0);
  }

  TestUpstream(int port) throws IOException {
    server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    server.setSoTimeout(TestWatcher.WAIT_MS);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Accepts the next watch, answers with status 200 and returns the requested path. */
  String answer() throws IOException {
    String path = accept();
    write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return path;
  }

  /** Accepts the next watch and returns the requested path. */
  String accept() throws IOException {
    watch = server.accept();
    watch.setSoTimeout(TestWatcher.WAIT_MS);
    String request = readLine(watch.getInputStream());
    for (String header = request; !header.isEmpty();) header = readLine(watch.getInputStream());
    return request.split(" ", 0)[1];
  }

  /** Writes the text as one chunk. */
  TestUpstream sendChunk(String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    write(Integer.toHexString(bytes.length) + "\r\n");
    watch.getOutputStream().write(bytes);
    write("\r\n");
    return this;
  }

  void write(String text) throws IOException {
    watch.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Closes the watch's connection with a TCP reset. */
  void reset() throws IOException {
    watch.setSoLinger(true, 0);
    watch.close();
  }

  /** Waits for the relay to close the watch and returns whether it did so in time. */
  boolean isClosedByRelay() throws IOException {
    try {
      return watch.getInputStream().read() < 0;
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  static String snapshotLine(long index, String... entries) {
    return line(index, true, entries);
  }

  static String changesLine(long index, String... entries) {
    return line(index, false, entries);
  }

  static String entry(String name, String status) {
    return "{\"name\":\"" + name
        + "\",\"address\":\"10.1.0.18:6379\",\"zone\":\"a\",\"type\":\"m2\",\"group\":3,"
        + "\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":0}";
  }

  /** Returns entries of the same size as those of discovery. */
  static String[] entries(int count) {
    return IntStream.range(0, count).mapToObj(i -> entry("s-" + i, "Ready")).toArray(String[]::new);
  }

  private static String line(long index, boolean snapshot, String... entries) {
    String joined = IntStream.range(0, entries.length).mapToObj(i -> entries[i])
        .collect(Collectors.joining(","));
    return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + joined
        + "]}\n";
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      if (b != '\r') line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    if (watch != null) watch.close();
    server.close();
  }
}
