package review;

import java.nio.file.Path;

/** Runs a case and ends the process with its verdict. */
final class Verdict {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;
  private static final long AT_MOST_MS = 118_000;

  /** A case; returns one of the verdicts. */
  interface Case {
    int play(Recorder record, Path root, boolean trouble) throws Exception;
  }

  private Verdict() {}

  /** The arguments are the repository's root and the case's folder. */
  static void run(String[] arguments, Case played) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int verdict = COULD_NOT_RUN;
    Thread limit = Threads.start(Verdict::endInTime);
    try (Recorder record = new Recorder(Path.of(arguments[1], "record.txt"))) {
      record.say("%s the disruption", trouble ? "with" : "without");
      try {
        verdict = played.play(record, Path.of(arguments[0]), trouble);
      } catch (Exception e) {
        record.say("the case couldn't run: %s", e);
        e.printStackTrace();
      }
      String[] words = {"the rule held", "the rule was broken", "the case couldn't run"};
      record.say("%s", words[verdict]);
    }
    limit.interrupt();
    System.exit(verdict);
  }

  private static void endInTime() {
    try {
      Thread.sleep(AT_MOST_MS);
    } catch (InterruptedException e) {
      return;
    }
    System.out.println("the case took too long");
    ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly);
    Runtime.getRuntime().halt(COULD_NOT_RUN);
  }
}
