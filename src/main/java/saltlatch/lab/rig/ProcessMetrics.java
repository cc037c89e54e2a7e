package saltlatch.lab.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltlatch.wire.Excerpt;

/**
 * Reads the CPU time and memory of processes from Linux' {@code /proc}, and the heap use of JVMs
 * from {@code jcmd}.
 */
public final class ProcessMetrics {
  private static final Path PROC = Path.of("/proc");
  private static final double NANOS_PER_MS = 1e6;
  private static final int TICK_MS = 10; // unit of the CPU times in /proc/PID/stat
  private static final int USER_TIME = 11; // index after the name in /proc/PID/stat
  private static final int SYSTEM_TIME = 12;
  private static final long BYTES_PER_KB = 1_024;
  private static final int MAX_SHOWN_CHARS = 2_000; // of a tool's output, in an error message
  private static final Pattern HISTOGRAM_TOTAL = Pattern.compile("(?m)^Total +\\d+ +(\\d+)");

  /**
   * A reading of CPU times.
   *
   * @param processMs CPU time of the process in ms, in steps of 10 ms
   * @param threadNanos CPU time of each live thread in ns, by thread id
   */
  public record Cpu(long processMs, Map<Long, Long> threadNanos) {
    /**
     * Returns the CPU time in ms that the threads of this reading have used since an earlier one.
     * Work of threads that have ended in between is not included.
     */
    public double msSince(Cpu earlier) {
      double nanos = 0;
      for (Map.Entry<Long, Long> thread : threadNanos.entrySet()) {
        nanos += thread.getValue() - earlier.threadNanos.getOrDefault(thread.getKey(), 0L);
      }
      return nanos / NANOS_PER_MS;
    }
  }

  private ProcessMetrics() {}

  /** Returns the CPU time that the process has used; fails if the process has ended. */
  public static Cpu cpu(long pid) throws IOException {
    String stat = Files.readString(PROC.resolve(pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
    long ticks = Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]);
    Map<Long, Long> threads = new HashMap<>();
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(PROC.resolve(pid + "/task"))) {
      for (Path task : tasks) readThread(task, threads);
    }
    return new Cpu(ticks * TICK_MS, threads);
  }

  private static void readThread(Path task, Map<Long, Long> threads) throws IOException {
    try {
      String[] times = Files.readString(task.resolve("schedstat")).split(" ", 0);
      threads.put(Long.parseLong(task.getFileName().toString()), Long.parseLong(times[0]));
    } catch (NoSuchFileException e) {
      threads.remove(Long.parseLong(task.getFileName().toString())); // the thread has ended
    }
  }

  /** Returns the current resident set size in bytes. */
  public static long rssBytes(long pid) throws IOException {
    return status(pid, "VmRSS:");
  }

  /** Returns the highest resident set size in bytes. */
  public static long peakRssBytes(long pid) throws IOException {
    return status(pid, "VmHWM:");
  }

  private static long status(long pid, String key) throws IOException {
    for (String line : Files.readAllLines(PROC.resolve(pid + "/status"))) {
      if (line.startsWith(key)) return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KB;
    }
    throw new IOException("expected a line " + key + " in the status of process " + pid);
  }

  /** Runs a full garbage collection in a JVM, and returns the bytes of live objects. */
  public static long heldHeapBytes(long pid) throws IOException, InterruptedException {
    Process jcmd = new ProcessBuilder(List.of("jcmd", Long.toString(pid), "GC.class_histogram"))
        .redirectErrorStream(true).start();
    String output = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    jcmd.waitFor(1, TimeUnit.MINUTES);
    Matcher totalLine = HISTOGRAM_TOTAL.matcher(output);
    if (!totalLine.find()) throw new IOException("expected a heap histogram of process " + pid
        + ", found: " + Excerpt.of(output, MAX_SHOWN_CHARS));
    return Long.parseLong(totalLine.group(1));
  }

  /** Returns the size of this machine's memory in bytes. */
  public static long machineBytes() {
    try {
      for (String line : Files.readAllLines(PROC.resolve("meminfo"))) {
        if (line.startsWith("MemTotal:"))
          return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KB;
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    throw new IllegalStateException("expected a line MemTotal: in /proc/meminfo");
  }
}
