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

/** What a process has used, from Linux' {@code /proc}, and what a JVM holds, from {@code jcmd}. */
public final class ProcessMetrics {
  private static final Path PROC = Path.of("/proc");
  private static final double NANOS = 1e6; // in a ms
  private static final int TICK_MS = 10; // of the clock in which /proc/PID/stat counts
  private static final int USER_TIME = 11; // fields of /proc/PID/stat behind the name
  private static final int SYSTEM_TIME = 12;
  private static final long KILO = 1_024;
  private static final Pattern TOTAL = Pattern.compile("(?m)^Total +\\d+ +(\\d+)");

  /**
   * CPU time at one instant: of the whole process in steps of 10 ms, and of each thread that lives,
   * exactly.
   */
  public record Cpu(long processMs, Map<Long, Long> threadNanos) {
    /**
     * ms since the earlier reading, by the threads that live now. Ended threads' last work is not
     * in it.
     */
    public double msSince(Cpu earlier) {
      double nanos = 0;
      for (Map.Entry<Long, Long> thread : threadNanos.entrySet()) {
        nanos += thread.getValue() - earlier.threadNanos.getOrDefault(thread.getKey(), 0L);
      }
      return nanos / NANOS;
    }
  }

  private ProcessMetrics() {}

  /** CPU time that the process has used; fails once it is gone. */
  public static Cpu cpu(long pid) throws IOException {
    String stat = Files.readString(PROC.resolve(pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
    long ticks = Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]);
    Map<Long, Long> threads = new HashMap<>();
    try (DirectoryStream<Path> tasks = Files.newDirectoryStream(PROC.resolve(pid + "/task"))) {
      for (Path task : tasks) thread(task, threads);
    }
    return new Cpu(ticks * TICK_MS, threads);
  }

  private static void thread(Path task, Map<Long, Long> into) throws IOException {
    try {
      String[] used = Files.readString(task.resolve("schedstat")).split(" ", 0);
      into.put(Long.parseLong(task.getFileName().toString()), Long.parseLong(used[0]));
    } catch (NoSuchFileException e) {
      into.remove(Long.parseLong(task.getFileName().toString())); // it ended meanwhile
    }
  }

  /** Resident bytes now. */
  public static long rssBytes(long pid) throws IOException {
    return status(pid, "VmRSS:");
  }

  /** Resident bytes at their highest. */
  public static long peakRssBytes(long pid) throws IOException {
    return status(pid, "VmHWM:");
  }

  private static long status(long pid, String key) throws IOException {
    for (String line : Files.readAllLines(PROC.resolve(pid + "/status"))) {
      if (line.startsWith(key)) return Long.parseLong(line.replaceAll("[^0-9]", "")) * KILO;
    }
    throw new IOException("no " + key + " of process " + pid);
  }

  /** Bytes of a JVM's heap that are still held after a full collection, which this causes. */
  public static long heldHeapBytes(long pid) throws IOException, InterruptedException {
    Process jcmd = new ProcessBuilder(List.of("jcmd", Long.toString(pid), "GC.class_histogram"))
        .redirectErrorStream(true).start();
    String text = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    jcmd.waitFor(1, TimeUnit.MINUTES);
    Matcher total = TOTAL.matcher(text);
    if (!total.find()) throw new IOException("no histogram of process " + pid + ": " + text);
    return Long.parseLong(total.group(1));
  }

  /** Bytes of memory that this machine has. */
  public static long machineBytes() {
    try {
      for (String line : Files.readAllLines(PROC.resolve("meminfo"))) {
        if (line.startsWith("MemTotal:"))
          return Long.parseLong(line.replaceAll("[^0-9]", "")) * KILO;
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    throw new IllegalStateException("/proc/meminfo tells no MemTotal");
  }
}
