package saltlatch.lab.plan;

import java.util.List;
import java.util.SplittableRandom;
import saltlatch.lab.scenario.Scenario;
import saltlatch.lab.scenario.Scenario.Fault;

/**
 * What one emulated app server does with a command at a given moment: the decision of the stand-in,
 * with no I/O, so that a test can print its trace. Capacity is {@code concurrency} reqs in
 * progress; beyond it {@code -BUSY}. A cold start gives a share {@code from} of it growing to the
 * whole over {@code ramp_s}; a cold box with more than {@link #FALL_MULTIPLE} times its capacity in
 * progress falls over and fails everything for {@link #FALL_MS}.
 */
public final class AppServerModel {
  /** What becomes of one command. */
  public enum Verdict {
    SERVE,
    BUSY,
    FAIL,
    SPOIL
  }

  /**
   * The verdict, and for {@code SERVE} the latency in ms, and whether answers are held until a
   * pause ends.
   */
  public record Decision(Verdict verdict, double latencyMs, double heldUntilMs) {}

  // in progress over capacity at which a cold box tips; a stand-in's choice
  static final double FALL_MULTIPLE = 2.0;
  // how long a tipped box fails all: long enough to be seen in a second's plot
  static final double FALL_MS = 3_000;

  private final int index;
  private final double sigma;
  private final double mu;
  private final int concurrency;
  private final double idleCloseMs;
  private final List<Fault> faults;
  private final SplittableRandom chance;
  private double fallenUntil = -1;

  public AppServerModel(int index, Scenario.Servers s, long seed) {
    this.index = index;
    this.concurrency = s.concurrency();
    this.idleCloseMs = s.idleCloseMs();
    this.faults = s.faults().stream().filter(f -> f.touches(index)).toList();
    this.chance = new SplittableRandom(seed * 31 + index);
    mu = Math.log(s.medianMs());
    sigma = Math.max(0.01,
        Math.log(Math.max(s.p99Ms(), s.medianMs() * 1.01) / s.medianMs()) / 2.326);
  }

  /** A new connection at {@code nowMs}: refused while a {@code refuse} fault holds. */
  public boolean accepts(double nowMs) {
    if (Fault.anyHolds(faults, "refuse", nowMs)) return false;
    return true;
  }

  /** Idle time after which this box closes a connection, 0 for never, at {@code nowMs}. */
  public double idleCloseMs(double nowMs) {
    double idle = idleCloseMs;
    for (Fault f : faults) if (f.kind().equals("idle_close") && f.holds(nowMs)) idle = f.idleMs();
    return idle;
  }

  /** Capacity in reqs in progress at {@code nowMs}, after any cold start's ramp. */
  public double capacity(double nowMs) {
    double c = concurrency;
    for (Fault f : faults) {
      if (!f.kind().equals("cold_start") || nowMs < f.atS() * 1000) continue;
      double since = (nowMs - f.atS() * 1000) / 1000;
      double from = f.from() > 0 ? f.from() : 0.1;
      c *= since >= f.rampS() ? 1 : from + (1 - from) * since / Math.max(0.001, f.rampS());
    }
    return Math.max(1, c);
  }

  /** True if a cold start of this box is still ramping at {@code nowMs}. */
  boolean cold(double nowMs) {
    for (Fault f : faults) {
      if (f.kind().equals("cold_start") && nowMs >= f.atS() * 1000
          && nowMs < (f.atS() + f.rampS()) * 1000)
        return true;
    }
    return false;
  }

  /**
   * Decides a command that came whole at {@code nowMs} with {@code inProgress} others begun and not
   * answered.
   */
  public Decision decide(double nowMs, int inProgress) {
    if (nowMs < fallenUntil) return new Decision(Verdict.FAIL, 0, 0);
    double cap = capacity(nowMs);
    if (cold(nowMs) && inProgress + 1 > cap * FALL_MULTIPLE) {
      fallenUntil = nowMs + FALL_MS;
      return new Decision(Verdict.FAIL, 0, 0);
    }
    if (inProgress + 1 > cap * FALL_MULTIPLE || inProgress >= concurrency)
      return new Decision(Verdict.BUSY, 0, 0);
    double latency = Math.exp(mu + sigma * gaussian());
    // a cold box over its share queues the rest
    if (inProgress + 1 > cap) latency *= (inProgress + 1) / cap;
    double held = 0;
    for (Fault f : faults) {
      if (!f.holds(nowMs)) continue;
      switch (f.kind()) {
        case "fail_fast" -> {
          return new Decision(Verdict.FAIL, 0, 0);
        }
        case "spoil" -> {
          return new Decision(Verdict.SPOIL, latency, 0);
        }
        case "slow" -> latency += f.extraMs();
        case "pause" -> held = Math.max(held, (f.atS() + f.forS()) * 1000);
        default -> {}
      }
    }
    return new Decision(Verdict.SERVE, latency, held);
  }

  public int index() {
    return index;
  }

  private double gaussian() {
    // Box-Muller from the box's own stream, so one box's draws never depend on another's traffic.
    double u = 1 - chance.nextDouble();
    double v = chance.nextDouble();
    return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * v);
  }
}
