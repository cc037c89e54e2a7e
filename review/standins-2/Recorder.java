import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, each line with its ms since the start. */
final class Recorder implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double nowMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  synchronized void add(String format, Object... values) {
    out.printf("%10.2f  ", nowMs());
    out.println(String.format(format, values));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
