package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The counter: adds amounts to named totals and forgets a name after its life. */
final class CounterService implements AutoCloseable {
  private static final class Total {
    double units;
    long endsAtNanos;
  }

  private final ServerSocket listener;
  private final Map<String, Total> totals = new HashMap<>();

  CounterService() throws IOException {
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
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
      OutputStream out = socket.getOutputStream();
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        out.write((answer(line) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException e) {
      // The node has closed the connection.
    }
  }

  private String answer(String line) {
    String[] words = line.split(" ");
    if (words[0].equals("ping")) return "pong";
    if (words.length != 4 || !words[0].equals("bump")) return "error";
    return String.format(Locale.ROOT, "ok %.4f",
        add(words[1], Double.parseDouble(words[2]), Long.parseLong(words[3])));
  }

  private synchronized double add(String name, double units, long lifeMs) {
    long now = System.nanoTime();
    Total total = totals.get(name);
    if (total == null || total.endsAtNanos < now) {
      total = new Total();
      total.endsAtNanos = now + Math.min(60_000, lifeMs) * 1_000_000;
      totals.put(name, total);
    }
    total.units += units;
    return total.units;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
