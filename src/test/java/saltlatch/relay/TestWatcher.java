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

/** A watcher on a raw socket, which reads only when it is told to. */
final class TestWatcher implements AutoCloseable {
  static final int WAIT_MS = 20_000; // a busy machine; nothing waits so long in a run that passes

  final Socket socket = new Socket();
  private final InputStream in;
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private int leftOfChunk;
  private boolean opened;

  /** Connects; {@code receiveBuffer} 0 leaves the system's own. */
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

  /** The status line, headers and body of an answer with a length. */
  String answer() throws IOException {
    StringBuilder answer = new StringBuilder();
    int length = 0;
    for (String line = plainLine(); !line.isEmpty(); line = plainLine()) {
      answer.append(line).append('\n');
      if (line.startsWith("content-length: ")) length = Integer.parseInt(line.substring(16));
    }
    return answer + new String(in.readNBytes(length), StandardCharsets.UTF_8);
  }

  /** The next line of the watch, empty for a keep-alive, null at its end. */
  String line() throws IOException {
    if (!opened) open();
    text.reset();
    for (int b = bodyByte(); b != '\n'; b = bodyByte()) {
      if (b < 0) return null;
      text.write(b);
    }
    return text.toString(StandardCharsets.UTF_8);
  }

  /** The next line that is no keep-alive; null at the watch's end. */
  JsonObject list() throws IOException {
    String line = line();
    while (line != null && line.isEmpty()) line = line();
    return line == null ? null : JsonParser.parseString(line).getAsJsonObject();
  }

  /** Reads on until the list is at this version, and gives the last line. */
  JsonObject listAt(long index) throws IOException {
    JsonObject list = list();
    while (list.get("index").getAsLong() < index) list = list();
    return list;
  }

  /**
   * True if the other side has ended the connection, in whichever way, with nothing more to be
   * read.
   */
  boolean isClosedByRelay() throws IOException {
    try {
      while (in.read() >= 0) {
        // what comes before the end is dropped
      }
    } catch (java.net.SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true; // reset
    }
    return true;
  }

  private void open() throws IOException {
    opened = true;
    String status = plainLine();
    if (!status.equals("HTTP/1.1 200 OK")) throw new IOException(status);
    while (!plainLine().isEmpty()) {
      // headers
    }
  }

  private int bodyByte() throws IOException {
    if (leftOfChunk == 0) {
      String size = plainLine();
      if (size == null) return -1;
      leftOfChunk = Integer.parseInt(size, 16);
      if (leftOfChunk == 0) return -1;
    }
    int b = in.read();
    if (--leftOfChunk == 0) plainLine();
    return b;
  }

  private String plainLine() throws IOException {
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
