package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Discovery's agent on one node's machine: answers {@code GET /api/targets} with the whole list, and
 * a watch with the whole list, then an empty line every 2 s. The list never changes.
 */
final class DiscoveryAgent implements AutoCloseable {
  /** An app server as the list shows it. */
  record Endpoint(String name, String address, String zone, int group, String status,
      long sinceMs) {
    String json() {
      return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
          + "\",\"type\":\"m\",\"group\":" + group + ",\"status\":\"" + status
          + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
    }
  }

  private static final long EMPTY_LINE_MS = 2_000;
  private static final int INDEX = 41;

  private final String node;
  private final Recorder record;
  private final ServerSocket listener;
  private final List<Endpoint> endpoints;

  DiscoveryAgent(String node, Recorder record, List<Endpoint> listed) throws IOException {
    this.node = node;
    this.record = record;
    endpoints = List.copyOf(listed);
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the whole list in discovery's form. */
  String list() {
    return "{\"index\":" + INDEX + ",\"snapshot\":true,\"endpoints\":["
        + endpoints.stream().map(Endpoint::json).collect(Collectors.joining(",")) + "]}";
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Threads.start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String request = in.readLine();
      if (request == null) return;
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        continue;
      }
      record.line("agent of %s is asked: %s", node, request);
      if (request.contains("follow=1")) follow(socket);
      else answerList(socket);
    } catch (IOException | InterruptedException e) {
      // The node has closed the connection.
    }
  }

  private void answerList(Socket socket) throws IOException {
    String list = list() + "\n";
    socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        + "Connection: close\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
        .getBytes(StandardCharsets.ISO_8859_1));
  }

  private void follow(Socket socket) throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
    writeLine(out, list());
    record.line("agent of %s answers a watch with the whole list", node);
    while (true) {
      Thread.sleep(EMPTY_LINE_MS);
      writeLine(out, "");
    }
  }

  private static void writeLine(OutputStream out, String line) throws IOException {
    out.write((Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n")
        .getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
