package saltlatch.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Determines the revision that is measured with git: the abbreviated commit hash, with the suffix
 * {@code -dirty} if sources were modified.
 */
final class Revision {
  private static final int TIMEOUT_SECONDS = 10;
  private static final int HASH_DIGITS = 7;

  private Revision() {}

  /** Returns the revision of the working directory, or {@code unknown} if git reports none. */
  static String here() {
    try {
      String hash = git("rev-parse", "--short=" + HASH_DIGITS, "HEAD");
      if (hash.isEmpty()) return "unknown";
      return git("status", "--porcelain", "--", "src", "pom.xml").isEmpty() ? hash
          : hash + "-dirty";
    } catch (IOException e) {
      return "unknown";
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "unknown";
    }
  }

  private static String git(String... arguments) throws IOException, InterruptedException {
    List<String> command = new java.util.ArrayList<>(List.of("git"));
    command.addAll(List.of(arguments));
    Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD)
        .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
        .trim();
    return process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS) && process.exitValue() == 0 ? output
        : "";
  }
}
