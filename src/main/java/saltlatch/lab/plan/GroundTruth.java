package saltlatch.lab.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The emulator's record of what happened at the app servers: every attempt of every request, the
 * units charged for each request that ran, and each customer's units per one-second window. The
 * nodes' own counters and the load generator's outcomes are checked against it. It does no I/O and
 * is updated from one event loop.
 */
public final class GroundTruth {
  /**
   * One request as seen by the app servers: its customer and units, the attempts that were fully
   * received, and how many of these were served.
   */
  public static final class TrackedRequest {
    public final long customer;
    public final boolean submit;
    public final int units;
    public int attempts;
    public int served;
    // Set once an attempt was served, failed or spoilt, that is, not answered with a plain -BUSY.
    public boolean mayHaveRun;

    TrackedRequest(long customer, boolean submit, int units) {
      this.customer = customer;
      this.submit = submit;
      this.units = units;
    }
  }

  /** The counts over all requests, as the checks of a run read them. */
  public record Totals(long requests, long attempts, long served, long unitsCharged,
      long doubleCharges, long repeatedNonRetriable) {}

  private final Map<String, TrackedRequest> requestsById = new HashMap<>();
  // customer -> second -> units
  private final TreeMap<Long, TreeMap<Long, Long>> unitsBySecond = new TreeMap<>();
  private long attempts;
  private long served;
  private long unitsCharged;
  private long doubleCharges;
  private long repeatedNonRetriable;

  /**
   * Records an attempt that an app server received completely. Returns whether it repeats a
   * non-retriable request that may have run: an earlier attempt was not answered {@code -BUSY},
   * the only answer which guarantees that the request did not run.
   */
  public boolean recordAttempt(String id, long customer, boolean submit, int requestUnits) {
    attempts++;
    TrackedRequest request = requestsById.computeIfAbsent(id,
        key -> new TrackedRequest(customer, submit, requestUnits));
    request.attempts++;
    boolean repeat = request.submit && request.mayHaveRun;
    if (repeat) repeatedNonRetriable++;
    return repeat;
  }

  /**
   * Records that the attempt just recorded was not rejected with {@code -BUSY}: it runs, or it
   * failed or was spoilt in a way that may have run the request.
   */
  public void recordPossibleRun(String id) {
    TrackedRequest request = requestsById.get(id);
    if (request != null) request.mayHaveRun = true;
  }

  /**
   * Records that the app server ran the request and charged its units at {@code ms} since the
   * start. A second charge of the same request counts as a double charge.
   */
  public void recordServed(String id, long ms) {
    TrackedRequest request = requestsById.get(id);
    if (request == null) return;
    request.served++;
    served++;
    if (request.served > 1) {
      doubleCharges++;
      return;
    }
    unitsCharged += request.units;
    unitsBySecond.computeIfAbsent(request.customer, key -> new TreeMap<>()).merge(ms / 1000,
        (long) request.units, Long::sum);
  }

  /** Returns the counts over all requests recorded so far. */
  public Totals totals() {
    return new Totals(requestsById.size(), attempts, served, unitsCharged, doubleCharges,
        repeatedNonRetriable);
  }

  /** Returns the request with this id, or null if no attempt of it was recorded. */
  public TrackedRequest request(String id) {
    return requestsById.get(id);
  }

  /**
   * Returns the units that each customer was charged beyond its quota plan: the largest amount, at
   * any second, by which its running total exceeded {@code burst + rate * seconds}; 0 if it never
   * did. The map is ordered by customer number.
   */
  public Map<Long, Double> overshoot(double rate, double burst) {
    Map<Long, Double> overshoots = new TreeMap<>();
    for (var customer : unitsBySecond.entrySet()) {
      double total = 0;
      double worst = 0;
      long firstSecond = customer.getValue().firstKey();
      for (var second : customer.getValue().entrySet()) {
        total += second.getValue();
        worst = Math.max(worst, total - burst - rate * (second.getKey() - firstSecond + 1));
      }
      overshoots.put(customer.getKey(), worst);
    }
    return overshoots;
  }

  /**
   * Returns rows of second and units charged to the customer in it, for plots. Seconds without a
   * charge have no row.
   */
  public List<long[]> unitsPerSecond(long customer) {
    List<long[]> rows = new ArrayList<>();
    TreeMap<Long, Long> seconds = unitsBySecond.get(customer);
    if (seconds != null) {
      for (var second : seconds.entrySet())
        rows.add(new long[] {second.getKey(), second.getValue()});
    }
    return rows;
  }

  /** Returns at most {@code count} customers in descending order of units charged. */
  public List<Long> heaviest(int count) {
    List<Map.Entry<Long, Long>> totals = new ArrayList<>();
    for (var customer : unitsBySecond.entrySet()) {
      totals.add(Map.entry(customer.getKey(),
          customer.getValue().values().stream().mapToLong(Long::longValue).sum()));
    }
    totals.sort((left, right) -> left.getValue().equals(right.getValue())
        ? Long.compare(left.getKey(), right.getKey())
        : Long.compare(right.getValue(), left.getValue()));
    return totals.stream().limit(count).map(Map.Entry::getKey).toList();
  }
}
