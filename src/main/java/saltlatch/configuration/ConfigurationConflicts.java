package saltlatch.configuration;

import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import saltlatch.api.GatewaySettings;

/**
 * What of two versions must not be acted on at once: where a node on the older one does what the
 * newer one forbids. What a newer one only allows besides overlaps harmlessly. docs/rules-design.md
 * has the table.
 */
public record ConfigurationConflicts(Set<String> plans, Set<String> frontends, Set<String> srvs,
    Set<Long> customers, boolean sends) {

  public static ConfigurationConflicts between(SharedConfiguration older,
      SharedConfiguration newer) {
    Set<String> plans = new TreeSet<>();
    older.plans().forEach((name, p) -> {
      GatewaySettings.QuotaPlan q = newer.plans().get(name);
      if (q == null || isTighter(p, q)) plans.add(name);
    });
    Set<String> frontends = new TreeSet<>();
    older.frontends().forEach((name, f) -> {
      GatewaySettings.RequestClass g = newer.frontends().get(name);
      if (g == null || isTighter(f, g)) frontends.add(name);
    });
    return new ConfigurationConflicts(plans, frontends, without(newer.heldOut(), older.heldOut()),
        customers(older, newer), newer.limits().sendCap() < older.limits().sendCap());
  }

  /** A quota, cap or ceiling that allows less; 0 stands for none at all. */
  private static boolean isTighter(GatewaySettings.QuotaPlan p, GatewaySettings.QuotaPlan q) {
    return less(p.ratePerSecond(), q.ratePerSecond())
        || q.ratePerSecond() > 0 && p.ratePerSecond() > 0 && q.burstUnits() < p.burstUnits()
        || less(p.maxConcurrent(), q.maxConcurrent())
        || less(p.ceilingPerSecond(), q.ceilingPerSecond()) || q.ceilingPerSecond() > 0
            && p.ceilingPerSecond() > 0 && q.ceilingBurstUnits() < p.ceilingBurstUnits();
  }

  private static boolean less(double older, double newer) {
    return newer > 0 && (older <= 0 || newer < older);
  }

  /**
   * One that may be run again less freely, or whose repeats are remembered for less, or in a
   * smaller group.
   */
  private static boolean isTighter(GatewaySettings.RequestClass f, GatewaySettings.RequestClass g) {
    return g.retrySafety().ordinal() > f.retrySafety().ordinal()
        || g.keyScope().ordinal() > f.keyScope().ordinal() || g.keyTtlTicks() < f.keyTtlTicks();
  }

  /** Those barred anew, and those exempt no longer. */
  private static Set<Long> customers(SharedConfiguration older, SharedConfiguration newer) {
    Set<Long> out = without(newer.barred(), older.barred());
    out.addAll(without(older.exempt(), newer.exempt()));
    return out;
  }

  private static <T extends Comparable<T>> Set<T> without(SortedSet<T> all, SortedSet<T> these) {
    Set<T> out = new TreeSet<>(all);
    out.removeAll(these);
    return out;
  }

  /**
   * Whether deciding that req on the older version may go against the newer; app servers are asked
   * for one by one.
   */
  public boolean touch(String plan, String frontend, long customer) {
    return sends || plans.contains(plan) || frontends.contains(frontend)
        || customers.contains(customer);
  }

  /** The keys that are contradicted, as pins name them. */
  public Set<String> keys() {
    Set<String> out = new TreeSet<>();
    plans.forEach(p -> out.add("plans." + p));
    frontends.forEach(f -> out.add("frontends." + f));
    if (!srvs.isEmpty()) out.add("heldOut");
    if (!customers.isEmpty()) out.add("customers");
    if (sends) out.add("sendCap");
    return out;
  }
}
