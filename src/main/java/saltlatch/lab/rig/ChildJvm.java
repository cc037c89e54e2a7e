package saltlatch.lab.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One command of the built jar as a child process, its output in a log; ended when it is closed or
 * this JVM ends.
 */
public final class ChildJvm implements AutoCloseable {
  private static final long READY_MS = 60_000; // until the line that it is waited for
  private static final long END_MS = 10_000; // after SIGTERM, then SIGKILL
  private static final long LOOK_MS = 20; // between two looks at its log

  private final Process process;
  private final Path log;
  private final Thread guard;

  /**
   * Starts {@code java FLAGS -jar JAR ARGUMENTS}.
   *
   * @param log takes its output, standard and error
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
    guard = new Thread(process::destroyForcibly);
    Runtime.getRuntime().addShutdownHook(guard);
  }

  public long pid() {
    return process.pid();
  }

  public boolean alive() {
    return process.isAlive();
  }

  /**
   * Waits for a line of its output that begins so, and gives its rest; fails when the process ends
   * before.
   */
  public String await(String beginning) throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
    while (System.nanoTime() < until) {
      boolean ended = !process.isAlive(); // looked at first, so that its last line is read
      for (String line : Files.readAllLines(log)) {
        if (line.startsWith(beginning)) return line.substring(beginning.length());
      }
      if (ended) break;
      Thread.sleep(LOOK_MS);
    }
    throw new IOException("no line '" + beginning + "' in " + log + ":\n" + Files.readString(log));
  }

  /** Waits until it has ended by itself; its exit code. */
  public int waitFor() throws InterruptedException {
    return process.waitFor();
  }

  /** SIGTERM, and SIGKILL where that does not end it. */
  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(END_MS, TimeUnit.MILLISECONDS)) process.destroyForcibly().waitFor();
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
    Runtime.getRuntime().removeShutdownHook(guard);
  }
}
