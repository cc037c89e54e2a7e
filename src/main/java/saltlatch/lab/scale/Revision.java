package saltlatch.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The text that is measured, by git: the commit's short name, {@code -dirty} behind it where
 * sources were changed.
 */
final class Revision {
  private static final int WAIT_S = 10;
  private static final int NAME = 7; // digits of a commit's name

  private Revision() {}

  /** Of the directory that the command runs in; {@code unknown} where there is no git. */
  static String here() {
    try {
      String name = git("rev-parse", "--short=" + NAME, "HEAD");
      if (name.isEmpty()) return "unknown";
      return git("status", "--porcelain", "--", "src", "pom.xml").isEmpty() ? name
          : name + "-dirty";
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
    Process git = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD)
        .start();
    String text = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
    return git.waitFor(WAIT_S, TimeUnit.SECONDS) && git.exitValue() == 0 ? text : "";
  }
}
