package review;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, one line each, with the ms since the start. */
final class Recorder implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final BufferedWriter out;

  Recorder(Path file) throws IOException {
    out = Files.newBufferedWriter(file, StandardCharsets.UTF_8);
  }

  /** Returns the ms since the start. */
  double nowMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  synchronized void line(String format, Object... arguments) {
    try {
      out.write(String.format(Locale.ROOT, "%9.1f ", nowMs()));
      out.write(String.format(Locale.ROOT, format, arguments));
      out.newLine();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes a line here and on standard output. */
  void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public synchronized void close() throws IOException {
    out.close();
  }
}
