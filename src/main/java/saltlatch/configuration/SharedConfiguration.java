package saltlatch.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import saltlatch.api.GatewaySettings;

/**
 * All rules that the edge nodes must agree on, of one version: settings (plans, frontends by name,
 * limits) and lists (app servers held out, customers barred or exempt, the roster). Times are
 * tenths of a ms, rates units a second. Maps and sets are sorted, so that one rule set has one form
 * and one hash. {@code pins}: keys ({@code plans.NAME}, {@code frontends.NAME}, {@code heldOut},
 * {@code customers}, {@code sendCap}) that no later version of the same epoch tightens.
 */
public record SharedConfiguration(ConfigurationVersion version,
    Map<String, GatewaySettings.QuotaPlan> plans,
    Map<String, GatewaySettings.RequestClass> frontends, Limits limits, SortedSet<String> heldOut,
    SortedSet<Long> barred, SortedSet<Long> exempt, SortedSet<String> roster,
    SortedSet<String> pins, Expired expired) {

  /**
   * {@code sendCap}: dispatches of a req at most; {@code longestPause}: the most that a client is
   * told to wait.
   */
  public record Limits(int sendCap, long longestPause) {}

  /**
   * What becomes of a rule set whose successor may be in force unknown to a node: it denies, or the
   * successor waits.
   */
  public enum Expired {
    DENY,
    WAIT
  }

  public SharedConfiguration {
    plans = new TreeMap<>(plans);
    frontends = new TreeMap<>(frontends);
    heldOut = new TreeSet<>(heldOut);
    barred = new TreeSet<>(barred);
    exempt = new TreeSet<>(exempt);
    roster = new TreeSet<>(roster);
    pins = new TreeSet<>(pins);
  }

  /** Whether no later version of this epoch forbids what this one allows of such reqs. */
  public boolean isPinned(String plan, String frontend) {
    return pins.contains("plans." + plan) && pins.contains("frontends." + frontend)
        && pins.contains("customers") && pins.contains("sendCap");
  }

  public SharedConfiguration as(ConfigurationVersion v) {
    return new SharedConfiguration(v, plans, frontends, limits, heldOut, barred, exempt, roster,
        pins, expired);
  }

  /** What is wrong with it by itself, by key; empty if nothing is. */
  public List<String> faults() {
    List<String> out = new ArrayList<>();
    if (plans.isEmpty()) out.add("plans: none");
    if (frontends.isEmpty()) out.add("frontends: none");
    plans.forEach((name, p) -> {
      if (!(p.ratePerSecond() >= 0) || p.ratePerSecond() > 0 && !(p.burstUnits() > 0))
        out.add("plans." + name + ": a rate wants a burst above 0");
      if (p.ceilingPerSecond() < 0 || p.ceilingBurstUnits() < 0 || p.maxConcurrent() < 0)
        out.add("plans." + name + ": below 0");
    });
    frontends.forEach((name, f) -> {
      if (f.latencyObjectiveTicks() <= 0 || f.clientTimeoutTicks() < f.latencyObjectiveTicks())
        out.add("frontends." + name + ": target above 0, timeout no less");
      if (f.retrySafety() == GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY && f.keyTtlTicks() <= 0)
        out.add("frontends." + name + ": uniqued wants remembered");
    });
    if (limits.sendCap() < 1) out.add("limits.sendCap: at least 1");
    for (long c : barred)
      if (exempt.contains(c)) out.add("barred and exempt: customer " + Long.toHexString(c));
    if (version.epoch() < 1) out.add("version: epochs begin with 1");
    return out;
  }
}
