package saltlatch.lab.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The emulator's ledger of what really happened at the app servers: every dispatch of every req,
 * the units charged for each req that ran, a customer's units per one-second window. It is the
 * reference the nodes' own counters and the load tool's outcomes are checked against. No I/O; fed
 * from one event loop.
 */
public final class GroundTruth {
  /**
   * One req as the app servers saw it: dispatches that came whole, of them served, and its customer
   * and units.
   */
  public static final class TrackedRequest {
    public final long customer;
    public final boolean submit;
    public final int units;
    public int attempts;
    public int served;
    public boolean mayHaveRun; // a dispatch was taken in, failed or spoilt: not a plain -BUSY

    TrackedRequest(long customer, boolean submit, int units) {
      this.customer = customer;
      this.submit = submit;
      this.units = units;
    }
  }

  /** What a run's checks read: counts over all reqs seen. */
  public record Totals(long requests, long attempts, long served, long unitsCharged,
      long doubleCharges, long repeatedNonReplayable) {}

  private final Map<String, TrackedRequest> byId = new HashMap<>();
  // customer -> second -> units
  private final TreeMap<Long, TreeMap<Long, Long>> unitsBySecond = new TreeMap<>();
  private long attempts;
  private long served;
  private long units;
  private long doubles;
  private long repeats;

  /**
   * A dispatch came whole to an app server; returns whether it repeats a non-replayable req that
   * may have run: an earlier dispatch of it was not answered {@code -BUSY} (the one answer that
   * says it never ran).
   */
  public boolean recordAttempt(String id, long customer, boolean submit, int unitsAsked) {
    attempts++;
    TrackedRequest s = byId.computeIfAbsent(id,
        k -> new TrackedRequest(customer, submit, unitsAsked));
    s.attempts++;
    boolean repeat = s.submit && s.mayHaveRun;
    if (repeat) repeats++;
    return repeat;
  }

  /**
   * The dispatch just told was not turned away: it runs, or failed or spoilt in a way that may have
   * run.
   */
  public void recordPossibleRun(String id) {
    TrackedRequest s = byId.get(id);
    if (s != null) s.mayHaveRun = true;
  }

  /**
   * The app server ran it and charged its units at {@code ms}. A second charge of one req is a
   * double charge.
   */
  public void recordServed(String id, long ms) {
    TrackedRequest s = byId.get(id);
    if (s == null) return;
    s.served++;
    served++;
    if (s.served > 1) {
      doubles++;
      return;
    }
    units += s.units;
    unitsBySecond.computeIfAbsent(s.customer, c -> new TreeMap<>()).merge(ms / 1000, (long) s.units,
        Long::sum);
  }

  public Totals totals() {
    return new Totals(byId.size(), attempts, served, units, doubles, repeats);
  }

  public TrackedRequest request(String id) {
    return byId.get(id);
  }

  /**
   * Units each customer was charged beyond its plan: the most, over time, by which the running
   * total exceeded {@code burst + rate * seconds}. Customers in order of number.
   */
  public Map<Long, Double> overshoot(double rate, double burst) {
    Map<Long, Double> out = new TreeMap<>();
    for (var e : unitsBySecond.entrySet()) {
      double total = 0;
      double worst = 0;
      long first = e.getValue().firstKey();
      for (var sec : e.getValue().entrySet()) {
        total += sec.getValue();
        worst = Math.max(worst, total - burst - rate * (sec.getKey() - first + 1));
      }
      out.put(e.getKey(), worst);
    }
    return out;
  }

  /** A customer's charged units a second, from its first second on, for plots. */
  public List<long[]> unitsPerSecond(long customer) {
    List<long[]> out = new ArrayList<>();
    TreeMap<Long, Long> m = unitsBySecond.get(customer);
    if (m != null) for (var e : m.entrySet()) out.add(new long[] {e.getKey(), e.getValue()});
    return out;
  }

  /** Customers by units charged, most first, at most {@code n}. */
  public List<Long> heaviest(int n) {
    List<Map.Entry<Long, Long>> all = new ArrayList<>();
    for (var e : unitsBySecond.entrySet()) {
      all.add(
          Map.entry(e.getKey(), e.getValue().values().stream().mapToLong(Long::longValue).sum()));
    }
    all.sort((a, b) -> a.getValue().equals(b.getValue()) ? Long.compare(a.getKey(), b.getKey())
        : Long.compare(b.getValue(), a.getValue()));
    return all.stream().limit(n).map(Map.Entry::getKey).toList();
  }
}
