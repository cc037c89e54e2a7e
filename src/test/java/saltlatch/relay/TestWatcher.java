package saltlatch.relay;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A watcher on a plain socket, which reads only when the test calls one of its methods. */
final class TestWatcher implements AutoCloseable {
  static final int WAIT_MS = 20_000; // for a busy machine; a passing run does not reach it

  final Socket socket = new Socket();
  private final InputStream in;
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private int chunkBytesLeft;
  private boolean headersRead;

  /** Connects; a {@code receiveBuffer} of 0 leaves the system's default size. */
  TestWatcher(int port, int receiveBuffer) throws IOException {
    if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), WAIT_MS);
    socket.setSoTimeout(WAIT_MS);
    in = receiveBuffer > 0 ? socket.getInputStream()
        : new BufferedInputStream(socket.getInputStream());
  }

  static TestWatcher follow(int port, long since) throws IOException {
    return new TestWatcher(port, 0).sendGet("/api/targets?follow=1&since=" + since);
  }

  TestWatcher sendGet(String path) throws IOException {
    return sendText("GET " + path + " HTTP/1.1\r\nHost: relay\r\n\r\n");
  }

  TestWatcher sendText(String request) throws IOException {
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return this;
  }

  /** Returns the status line, headers and body of a response that has a content length. */
  String answer() throws IOException {
    StringBuilder answer = new StringBuilder();
    int length = 0;
    for (String line = unframedLine(); !line.isEmpty(); line = unframedLine()) {
      answer.append(line).append('\n');
      if (line.startsWith("content-length: ")) length = Integer.parseInt(line.substring(16));
    }
    return answer + new String(in.readNBytes(length), StandardCharsets.UTF_8);
  }

  /** Returns the watch's next line: empty for a keep-alive, null at its end. */
  String line() throws IOException {
    if (!headersRead) readHeaders();
    text.reset();
    for (int b = bodyByte(); b != '\n'; b = bodyByte()) {
      if (b < 0) return null;
      text.write(b);
    }
    return text.toString(StandardCharsets.UTF_8);
  }

  /** Returns the next line that is not a keep-alive, or null at the watch's end. */
  JsonObject list() throws IOException {
    String line = line();
    while (line != null && line.isEmpty()) line = line();
    return line == null ? null : JsonParser.parseString(line).getAsJsonObject();
  }

  /** Reads lines until one has this index or a later one, and returns that line. */
  JsonObject listAt(long index) throws IOException {
    JsonObject list = list();
    while (list.get("index").getAsLong() < index) list = list();
    return list;
  }

  /**
   * Reads up to the end of the connection and returns whether the relay closed or reset it in time.
   */
  boolean isClosedByRelay() throws IOException {
    try {
      while (in.read() >= 0) {
        // bytes before the end are discarded
      }
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true; // reset
    }
    return true;
  }

  private void readHeaders() throws IOException {
    headersRead = true;
    String status = unframedLine();
    if (!status.equals("HTTP/1.1 200 OK")) throw new IOException(status);
    while (!unframedLine().isEmpty()) {
      // the headers are not used
    }
  }

  private int bodyByte() throws IOException {
    if (chunkBytesLeft == 0) {
      String size = unframedLine();
      if (size == null) return -1;
      chunkBytesLeft = Integer.parseInt(size, 16);
      if (chunkBytesLeft == 0) return -1;
    }
    int b = in.read();
    if (--chunkBytesLeft == 0) unframedLine();
    return b;
  }

  private String unframedLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) return null;
      if (b != '\r') line.write(b);
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
