package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery's agent on one node's machine: answers {@code GET /api/targets} with the whole list, and
 * a watch with the whole list, then each change, then an empty line every 2 s.
 */
final class DiscoveryAgent implements AutoCloseable {
  /** An app server as the list shows it. */
  record Endpoint(String name, String address, String zone, int group, String status,
      long sinceMs) {
    Endpoint with(String newStatus) {
      return new Endpoint(name, address, zone, group, newStatus, sinceMs);
    }

    String json() {
      return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
          + "\",\"type\":\"m\",\"group\":" + group + ",\"status\":\"" + status
          + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
    }
  }

  private static final long EMPTY_LINE_MS = 2_000;
  private static final int FIRST_INDEX = 41;

  private final String node;
  private final Recorder record;
  private final ServerSocket listener;
  private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private long index = FIRST_INDEX;
  private volatile long answerDelayMs;

  DiscoveryAgent(String node, Recorder record, List<Endpoint> initial) throws IOException {
    this.node = node;
    this.record = record;
    for (Endpoint endpoint : initial) endpoints.put(endpoint.name(), endpoint);
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Makes the agent answer each later call only after this time. */
  void answerAfter(long ms) {
    answerDelayMs = ms;
  }

  /** Returns the whole list in discovery's form. */
  synchronized String list() {
    StringBuilder text = new StringBuilder(
        "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[");
    String separator = "";
    for (Endpoint endpoint : endpoints.values()) {
      if (endpoint.status().equals("Gone")) continue;
      text.append(separator).append(endpoint.json());
      separator = ",";
    }
    return text.append("]}").toString();
  }

  /** Changes one entry and tells it to the open watches. */
  synchronized void change(Endpoint changed) {
    String line = put(changed);
    record.line("agent of %s has %s %s, tells %d watches", node, changed.name(), changed.status(),
        watches.size());
    for (Watch watch : List.copyOf(watches)) watch.send(line);
  }

  /** Changes one entry and ends the open watches instead of telling it. */
  synchronized void changeAndEndWatches(Endpoint changed) {
    put(changed);
    record.line("agent of %s has %s %s, ends %d watches", node, changed.name(), changed.status(),
        watches.size());
    for (Watch watch : List.copyOf(watches)) watch.end();
  }

  private String put(Endpoint changed) {
    endpoints.put(changed.name(), changed);
    index++;
    return "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + changed.json() + "]}";
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
      Thread.sleep(answerDelayMs);
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
    Watch watch = new Watch(socket);
    synchronized (this) {
      socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
      watch.send(list());
      watches.add(watch);
      record.line("agent of %s answers a watch with the whole list, index %d", node, index);
    }
    while (!watch.ended) {
      Thread.sleep(EMPTY_LINE_MS);
      synchronized (this) {
        watch.send("");
      }
    }
  }

  /** An open watch. Its methods are called with the agent's lock held. */
  private final class Watch {
    private final Socket socket;
    private volatile boolean ended;

    Watch(Socket socket) {
      this.socket = socket;
    }

    void send(String line) {
      if (!ended) write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    /** Ends the answer as HTTP has it, and the connection with it. */
    void end() {
      write("0\r\n\r\n");
      ended = true;
      watches.remove(this);
      try {
        socket.close();
      } catch (IOException e) {
        return;
      }
    }

    private void write(String bytes) {
      try {
        OutputStream out = socket.getOutputStream();
        out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
      } catch (IOException e) {
        ended = true;
        watches.remove(this);
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
