package review;

import java.nio.file.Path;

/** Runs a case and ends the process with its verdict. */
final class Verdict {
  // the process' exit codes, which run.sh maps to 0, 1 and 2: a JVM that fails also ends with 1
  static final int HELD = 0;
  static final int BROKEN = 11;
  static final int COULD_NOT_RUN = 12;
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
    Runtime.getRuntime().addShutdownHook(new Thread(Verdict::endDescendants));
    Thread limit = Threads.start(Verdict::endInTime);
    try (Recorder record = new Recorder(Path.of(arguments[1], "record.txt"))) {
      record.say("%s the disruption", trouble ? "with" : "without");
      try {
        verdict = played.play(record, Path.of(arguments[0]), trouble);
      } catch (Exception | Error e) {
        record.say("the case couldn't run: %s", e);
        e.printStackTrace();
      }
      record.say(switch (verdict) {
        case HELD -> "the rule held";
        case BROKEN -> "the rule was broken";
        default -> "the case couldn't run";
      });
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
    endDescendants();
    Runtime.getRuntime().halt(COULD_NOT_RUN);
  }

  /** Ends the nodes also where the case itself is ended from outside. */
  private static void endDescendants() {
    ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly);
  }
}
