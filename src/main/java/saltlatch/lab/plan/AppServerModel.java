package saltlatch.lab.plan;

import java.util.List;
import java.util.SplittableRandom;
import saltlatch.lab.scenario.Scenario;
import saltlatch.lab.scenario.Scenario.Fault;

/**
 * Decides what one emulated app server does with a command at a given moment. The model does no
 * I/O, so that a test can print its trace. The capacity is {@code concurrency} requests in
 * progress; beyond it the server answers {@code -BUSY}. After a cold start the capacity grows from
 * the share {@code from} to full capacity over {@code ramp_s}. If a cold server would have more
 * than {@link #OVERLOAD_MULTIPLE} times its capacity in progress, it becomes overloaded and fails
 * every command for {@link #OVERLOAD_MS}.
 */
public final class AppServerModel {
  /** The result of one command. */
  public enum Verdict {
    SERVE,
    BUSY,
    FAIL,
    SPOIL
  }

  /**
   * The verdict, the latency in ms (0 for {@code FAIL} and {@code BUSY}), and the time in ms since
   * the start until which a pause holds the answer back (0 if none does).
   */
  public record Decision(Verdict verdict, double latencyMs, double heldUntilMs) {}

  // Requests in progress, as a multiple of capacity, above which a cold server is overloaded. The
  // value is an assumption of the model.
  static final double OVERLOAD_MULTIPLE = 2.0;
  // How long an overloaded server fails all commands: long enough to show in a plot of seconds.
  static final double OVERLOAD_MS = 3_000;
  // Standard deviations from the median to the 99th percentile of a normal distribution.
  private static final double P99_STANDARD_DEVIATIONS = 2.326;

  private final int index;
  private final double sigma;
  private final double mu;
  private final int concurrency;
  private final double idleCloseMs;
  private final List<Fault> faults;
  private final SplittableRandom random;
  private double overloadedUntilMs = -1;

  /** Creates the model of app server {@code index}; its latencies are drawn from {@code seed}. */
  public AppServerModel(int index, Scenario.Servers servers, long seed) {
    this.index = index;
    this.concurrency = servers.concurrency();
    this.idleCloseMs = servers.idleCloseMs();
    this.faults = servers.faults().stream().filter(fault -> fault.touches(index)).toList();
    this.random = new SplittableRandom(seed * 31 + index);
    mu = Math.log(servers.medianMs());
    sigma = Math.max(0.01,
        Math.log(Math.max(servers.p99Ms(), servers.medianMs() * 1.01) / servers.medianMs())
            / P99_STANDARD_DEVIATIONS);
  }

  /**
   * Returns whether the server accepts a new connection at {@code nowMs}; it refuses while a
   * {@code refuse} fault is active.
   */
  public boolean accepts(double nowMs) {
    if (Fault.anyHolds(faults, "refuse", nowMs)) return false;
    return true;
  }

  /**
   * Returns the idle time in ms after which the server closes a connection at {@code nowMs}, or 0
   * if it closes none.
   */
  public double idleCloseMs(double nowMs) {
    double idleMs = idleCloseMs;
    for (Fault fault : faults) {
      if (fault.kind().equals("idle_close") && fault.holds(nowMs)) idleMs = fault.idleMs();
    }
    return idleMs;
  }

  /**
   * Returns the capacity at {@code nowMs} in requests in progress, reduced while a cold start ramps
   * up.
   */
  public double capacity(double nowMs) {
    double capacity = concurrency;
    for (Fault fault : faults) {
      if (!fault.kind().equals("cold_start") || nowMs < fault.atS() * 1000) continue;
      double sinceStartS = (nowMs - fault.atS() * 1000) / 1000;
      double initialShare = fault.from() > 0 ? fault.from() : 0.1;
      capacity *= sinceStartS >= fault.rampS() ? 1
          : initialShare + (1 - initialShare) * sinceStartS / Math.max(0.001, fault.rampS());
    }
    return Math.max(1, capacity);
  }

  /** Returns whether a cold start of this server is still ramping up at {@code nowMs}. */
  boolean isColdStarting(double nowMs) {
    for (Fault fault : faults) {
      if (fault.kind().equals("cold_start") && nowMs >= fault.atS() * 1000
          && nowMs < (fault.atS() + fault.rampS()) * 1000)
        return true;
    }
    return false;
  }

  /**
   * Decides a command that was fully received at {@code nowMs}, while {@code inProgress} other
   * commands are started but not answered.
   */
  public Decision decide(double nowMs, int inProgress) {
    if (nowMs < overloadedUntilMs) return new Decision(Verdict.FAIL, 0, 0);
    double capacity = capacity(nowMs);
    if (isColdStarting(nowMs) && inProgress + 1 > capacity * OVERLOAD_MULTIPLE) {
      overloadedUntilMs = nowMs + OVERLOAD_MS;
      return new Decision(Verdict.FAIL, 0, 0);
    }
    if (inProgress + 1 > capacity * OVERLOAD_MULTIPLE || inProgress >= concurrency)
      return new Decision(Verdict.BUSY, 0, 0);
    double latencyMs = Math.exp(mu + sigma * nextGaussian());
    // Above its reduced capacity a cold server queues the excess, so each request takes longer.
    if (inProgress + 1 > capacity) latencyMs *= (inProgress + 1) / capacity;
    double heldUntilMs = 0;
    for (Fault fault : faults) {
      if (!fault.holds(nowMs)) continue;
      switch (fault.kind()) {
        case "fail_fast" -> {
          return new Decision(Verdict.FAIL, 0, 0);
        }
        case "spoil" -> {
          return new Decision(Verdict.SPOIL, latencyMs, 0);
        }
        case "slow" -> latencyMs += fault.extraMs();
        case "pause" -> heldUntilMs = Math.max(heldUntilMs, (fault.atS() + fault.forS()) * 1000);
        default -> {}
      }
    }
    return new Decision(Verdict.SERVE, latencyMs, heldUntilMs);
  }

  /** Returns the number of this app server, from 0. */
  public int index() {
    return index;
  }

  private double nextGaussian() {
    // Box-Muller. Each server has its own generator, so that the latencies drawn for one server do
    // not depend on the traffic of another.
    double radiusDraw = 1 - random.nextDouble();
    double angleDraw = random.nextDouble();
    return Math.sqrt(-2 * Math.log(radiusDraw)) * Math.cos(2 * Math.PI * angleDraw);
  }
}
