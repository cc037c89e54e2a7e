import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;

/** A sound counter: adds amounts to named numbers and answers the total at once. */
final class CounterStandIn {
  private record Count(double total, long endsAtNanos) {}

  private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final Map<String, Count> counts = new HashMap<>();

  CounterStandIn() throws IOException {
    Threads.run(() -> {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Threads.run(() -> serve(socket));
      }
    });
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private void serve(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    while (true) {
      String[] words = Resp.readLine(in).trim().split(" ");
      String answer = "error";
      if (words[0].equals("ping")) answer = "pong";
      if (words[0].equals("bump") && words.length == 4) {
        answer = "ok " + add(words[1], Double.parseDouble(words[2]), Long.parseLong(words[3]));
      }
      socket.getOutputStream().write(Resp.line(answer));
    }
  }

  private synchronized String add(String name, double amount, long lifeMs) {
    long now = System.nanoTime();
    Count count = counts.get(name);
    if (count == null || count.endsAtNanos() < now) {
      count = new Count(0, now + Math.min(60_000, lifeMs) * 1_000_000);
    }
    count = new Count(count.total() + amount, count.endsAtNanos());
    counts.put(name, count);
    return String.format(java.util.Locale.ROOT, "%.4f", count.total());
  }
}
