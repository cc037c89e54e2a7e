import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A sound discovery agent: one list that never changes, whole for a watch or a single call. */
final class DiscoveryStandIn {
  private final ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
  private final String list;

  DiscoveryStandIn(String list) throws IOException {
    this.list = list;
    Threads.run(() -> {
      while (true) {
        Socket socket = server.accept();
        Threads.run(() -> serve(socket));
      }
    });
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    String request = Resp.readLine(in);
    while (!Resp.readLine(in).isEmpty()) continue;
    String line = list + "\n";
    if (!request.contains("follow=1")) {
      out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line)
          .getBytes(StandardCharsets.ISO_8859_1));
      socket.close();
      return;
    }
    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        .getBytes(StandardCharsets.ISO_8859_1));
    while (true) {
      out.write((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n")
          .getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      line = "\n";
      Thread.sleep(2_000);
    }
  }
}
