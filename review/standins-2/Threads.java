import java.io.IOException;
import java.net.SocketException;

/** Daemon threads for stand-ins; the end of a connection ends its thread silently. */
final class Threads {
  interface Work {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread run(Work work) {
    Thread thread = new Thread(() -> {
      try {
        work.run();
      } catch (IOException | InterruptedException e) {
        // the connection or the case has ended
      } catch (Exception e) {
        e.printStackTrace();
      }
    });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
