package saltlatch.lab.load;

import java.util.List;
import java.util.Map;
import saltlatch.lab.check.MemberTimes;

/**
 * One run's figures as the run file holds them (JSON through Gson). Latencies are microseconds,
 * counted from a try's scheduled time, so a late sender's delay is part of them. {@code perSecond}
 * rows are {@code [second, passed, denied, aborted (all others), p99 us of answers that second]}.
 */
public record RunResult(String scenario, String scenarioJson, long seed, String scheduleDigest,
    double seconds, int nodes, int servers, long offered, long tries, Map<Outcome, Long> outcomes,
    long deniedWithRetryAfter, long deniedWithRoom, Map<String, Long> latencyUs,
    Map<String, Long> senderLateUs, List<long[]> perSecond, GroundTruth truth,
    Map<String, Long> emulator, List<Map<String, Long>> nodeCounters, List<Customer> customers,
    ProcessUsage process, List<Check> checks, List<Fault> faults, Map<String, Long> relayDelayUs,
    List<String> violations, double recoveryS, MemberTimes members) {

  /**
   * A fault of the schedule on a process or a link, for the time line: seconds since the load's
   * start, and the units by which the worst customer's standing beyond its quota grew from its
   * start to two seconds after its end.
   */
  public record Fault(String what, List<String> nodes, double fromS, double untilS,
      double beyondUnits) {}

  /** The emulator's ledger summed. */
  public record GroundTruth(long reqs, long dispatches, long served, long unitsCharged,
      long doubleCharges, long repeatedNonReplayable, long passedNotRun, double unitsBeyondPlan) {}

  /**
   * A customer's units charged a second, against its plan's allowance; {@code beyond} is the worst
   * overshoot.
   */
  public record Customer(long id, List<long[]> unitsPerSecond, double rate, double burst,
      double beyond) {}

  /**
   * CPU seconds and resident MB of the lab's process (nodes in-process share it), and its threads.
   */
  public record ProcessUsage(double cpuSeconds, double rssMb, int threads) {}

  /** A pass/fail check of the run and what it saw. */
  public record Check(String name, boolean passed, String detail) {}

  /** True if every check passed. */
  public boolean passed() {
    return checks.stream().allMatch(Check::passed);
  }
}
