package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client's connection on which commands are sent without waiting for the answers before. */
final class Pipeline implements AutoCloseable {
  private final Recorder record;
  private final String name;
  private final Socket socket;
  private final OutputStream out;
  private final Map<String, String> answers = Collections.synchronizedMap(new LinkedHashMap<>());
  private final Thread reader;
  private volatile String end = "open";

  Pipeline(Recorder record, NodeProcess node, int number) throws IOException {
    this.record = record;
    name = "connection " + number + " to " + node.name;
    socket = new Socket("127.0.0.1", node.port);
    socket.setTcpNoDelay(true);
    out = socket.getOutputStream();
    reader = Threads.start(this::read);
  }

  /** Sends commands at once; the keys are the requests' ids. */
  void send(Map<String, byte[]> commands) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    commands.forEach((id, command) -> {
      answers.put(id, "");
      all.writeBytes(command);
    });
    out.write(all.toByteArray());
    record.line("%s: sent %d commands at once", name, commands.size());
  }

  private void read() {
    try {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        String answer = Resp.readAnswer(in);
        if (answer == null) {
          end = "ended by the node";
          break;
        }
        String id = next();
        answers.put(id, answer);
        record.line("%s: %s hears %s", name, id, answer);
      }
    } catch (IOException e) {
      end = "broken: " + e.getMessage();
    }
    record.line("%s: %s", name, end);
  }

  /** Answers come in the order of the commands. */
  private String next() {
    synchronized (answers) {
      return answers.entrySet().stream().filter(entry -> entry.getValue().isEmpty()).findFirst()
          .orElseThrow().getKey();
    }
  }

  /**
   * Returns how many bytes of this connection the system holds that the node has not read yet; -1
   * if the system doesn't tell.
   */
  long unreadBytes() {
    String pair = String.format(Locale.ROOT, "0100007F:%04X 0100007F:%04X", socket.getPort(),
        socket.getLocalPort());
    try {
      for (String line : Files.readAllLines(Path.of("/proc/net/tcp"))) {
        if (line.contains(pair)) return queue(line);
      }
      for (String line : Files.readAllLines(Path.of("/proc/net/tcp6"))) {
        if (line.contains(pair.replace("0100007F", "0000000000000000FFFF00000100007F"))) {
          return queue(line);
        }
      }
    } catch (IOException e) {
      return -1;
    }
    return -1;
  }

  /** The fifth word of a line has the bytes not yet sent and those not yet read. */
  private static long queue(String line) {
    return Long.parseLong(line.trim().split("\\s+")[4].split(":")[1], 16);
  }

  /** Waits for the answers, or for the connection's end, until this time. */
  void await(double untilMs) throws InterruptedException {
    while (record.nowMs() < untilMs && unanswered() > 0 && reader.isAlive()) Thread.sleep(20);
  }

  /**
   * Returns whether the node has reset the connection after its end, as a close over unread bytes
   * does: then the first byte written now fails.
   */
  boolean wasReset() {
    try {
      out.write('\n');
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  long unanswered() {
    synchronized (answers) {
      return answers.values().stream().filter(String::isEmpty).count();
    }
  }

  int sent() {
    return answers.size();
  }

  String end() {
    return end;
  }

  @Override
  public String toString() {
    return name;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
