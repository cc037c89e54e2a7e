package saltlatch.lab.load;

import java.util.List;
import java.util.Map;
import saltlatch.lab.check.MemberTimes;

/**
 * The figures of one run as stored in the run file (JSON, written by Gson). Latencies are in
 * microseconds and start at the scheduled time of an attempt, so they include the delay of a late
 * sender. The rows of {@code perSecond} are {@code [second, succeeded, rejected, all other
 * outcomes, p99 latency of the second's answers in us]}.
 */
public record RunResult(String scenario, String scenarioJson, long seed, String scheduleDigest,
    double seconds, int nodes, int servers, long offered, long tries, Map<Outcome, Long> outcomes,
    long deniedWithRetryAfter, long deniedWithRoom, Map<String, Long> latencyUs,
    Map<String, Long> senderLateUs, List<long[]> perSecond, GroundTruth truth,
    Map<String, Long> emulator, List<Map<String, Long>> nodeCounters, List<Customer> customers,
    ProcessUsage process, List<Check> checks, List<Fault> faults, Map<String, Long> relayDelayUs,
    List<String> violations, double recoveryS, MemberTimes members) {

  /**
   * A scheduled fault of a process or a link, for the report's timeline. {@code fromS} and
   * {@code untilS} are seconds since the load's start. {@code beyondUnits} is the number of units
   * by which the worst customer's excess over its quota grew from the start of the fault until two
   * seconds after its end.
   */
  public record Fault(String what, List<String> nodes, double fromS, double untilS,
      double beyondUnits) {}

  /** The totals of the emulator's record of what happened at the app servers. */
  public record GroundTruth(long reqs, long dispatches, long served, long unitsCharged,
      long doubleCharges, long repeatedNonReplayable, long passedNotRun, double unitsBeyondPlan) {}

  /**
   * The units charged to a customer per second, and the rate and burst of its quota plan;
   * {@code beyond} is the largest number of units that it used beyond the plan.
   */
  public record Customer(long id, List<long[]> unitsPerSecond, double rate, double burst,
      double beyond) {}

  /**
   * The CPU seconds, resident memory in MB and threads of the laboratory's process, including nodes
   * that run in it.
   */
  public record ProcessUsage(double cpuSeconds, double rssMb, int threads) {}

  /** A check of the run, its result and the figures behind it. */
  public record Check(String name, boolean passed, String detail) {}

  /** Returns whether every check holds. */
  public boolean passed() {
    return checks.stream().allMatch(Check::passed);
  }
}
