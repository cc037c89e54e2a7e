package saltlatch.lab.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A child process that runs one command of the built jar and writes its output to a log. The
 * process is ended when this object is closed or this JVM ends.
 */
public final class ChildJvm implements AutoCloseable {
  private static final long OUTPUT_TIMEOUT_MS = 60_000; // until an expected line is written
  private static final long TERMINATION_MS = 10_000; // from SIGTERM to SIGKILL
  private static final long POLL_MS = 20; // between two reads of the log

  private final Process process;
  private final Path log;
  private final Thread shutdownHook;

  /**
   * Starts {@code java FLAGS -jar JAR ARGUMENTS}.
   *
   * @param log receives standard output and standard error
   */
  public ChildJvm(List<String> flags, Path jar, List<String> arguments, Path log)
      throws IOException {
    this.log = log;
    List<String> command = new ArrayList<>(List.of("java"));
    command.addAll(flags);
    command.addAll(List.of("-jar", jar.toString()));
    command.addAll(arguments);
    if (log.getParent() != null) Files.createDirectories(log.getParent());
    process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile())
        .start();
    shutdownHook = new Thread(process::destroyForcibly);
    Runtime.getRuntime().addShutdownHook(shutdownHook);
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process is running. */
  public boolean alive() {
    return process.isAlive();
  }

  /**
   * Waits for a line of output that starts with the given prefix, and returns the rest of that
   * line.
   *
   * @throws IOException if the process ends or the time-out passes before the line is written
   */
  public String await(String prefix) throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OUTPUT_TIMEOUT_MS);
    while (System.nanoTime() < deadline) {
      // checked before the log is read, so that the last line is not missed
      boolean ended = !process.isAlive();
      for (String line : Files.readAllLines(log)) {
        if (line.startsWith(prefix)) return line.substring(prefix.length());
      }
      if (ended) break;
      Thread.sleep(POLL_MS);
    }
    throw new IOException(
        "expected a line that starts with '" + prefix + "' within " + OUTPUT_TIMEOUT_MS
            + " ms, before the process ends; found in " + log + ":\n" + Files.readString(log));
  }

  /** Waits until the process has ended by itself, and returns its exit code. */
  public int waitFor() throws InterruptedException {
    return process.waitFor();
  }

  /** Sends SIGTERM, and SIGKILL if the process does not end within 10 s. */
  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(TERMINATION_MS, TimeUnit.MILLISECONDS))
        process.destroyForcibly().waitFor();
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
  }
}
