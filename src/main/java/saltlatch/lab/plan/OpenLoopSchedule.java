package saltlatch.lab.plan;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.lab.scenario.Scenario;

/**
 * The offered schedule of a run, fixed before the first req is sent (open loop: a late answer never
 * delays the next arrival, so there is no coordinated omission). Poisson arrivals at the scenario's
 * rate times any burst factor, customers drawn by Zipf, from one {@link SplittableRandom} of the
 * scenario's seed. No I/O, no clock.
 */
public final class OpenLoopSchedule {
  /**
   * One req to send: at {@code atUs} microseconds from the start; {@code leaveUs} 0 if the client
   * waits it out.
   */
  public record Arrival(long atUs, long customer, String id, boolean submit, int units,
      long deadlineMs, long abandonUs, int eagerTries) {}

  // arrivals at most in one run: 2M of 80 B each stay within 160 MB
  private static final int LONGEST = 2_000_000;

  private OpenLoopSchedule() {}

  /** The whole schedule, in order of time; the same scenario and seed give the same list. */
  public static List<Arrival> of(Scenario s) {
    Scenario.Load l = s.load();
    SplittableRandom chance = new SplittableRandom(s.seed() ^ 0x5eed_0ffeL);
    double[] cdf = zipf(l.customers(), l.zipf());
    long endUs = (long) (s.seconds() * 1e6);
    List<Arrival> out = new ArrayList<>();
    double t = 0;
    long n = 0;
    while (out.size() < LONGEST) {
      double rate = l.rate() * factor(l.bursts(), t / 1e6);
      t += -Math.log(1 - chance.nextDouble()) / rate * 1e6;
      if (t >= endUs) break;
      long customer = 1L + pick(cdf, chance.nextDouble());
      boolean submit = chance.nextDouble() < l.submitShare();
      int units = l.unitsMin() + chance.nextInt(l.unitsMax() - l.unitsMin() + 1);
      long deadline = (long) l.deadlineMs();
      long leave = chance.nextDouble() < l.giveUpShare() ? (long) (deadline * 1000 * l.giveUpAt())
          : 0;
      int eager = chance.nextDouble() < l.eagerShare() ? l.eagerTries() : 0;
      String id = String.format("%016x", s.seed() * 0x9E3779B97F4A7C15L + ++n);
      out.add(new Arrival((long) t, customer, id, submit, units, deadline, leave, eager));
    }
    return out;
  }

  /** SHA-256 of the schedule's fields, hex: two runs with one seed show the same digest. */
  public static String digest(List<Arrival> arrivals) {
    try {
      MessageDigest md = MessageDigest.getInstance("SHA-256");
      ByteBuffer b = ByteBuffer.allocate(64);
      for (Arrival a : arrivals) {
        b.clear();
        b.putLong(a.atUs).putLong(a.customer).putLong(a.id.hashCode())
            .put((byte) (a.submit ? 1 : 0)).putInt(a.units).putLong(a.deadlineMs)
            .putLong(a.abandonUs).putInt(a.eagerTries);
        md.update(b.array(), 0, b.position());
      }
      return HexFormat.of().formatHex(md.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  static double factor(List<Scenario.Burst> bursts, double atS) {
    double f = 1;
    for (Scenario.Burst b : bursts) if (atS >= b.atS() && atS < b.atS() + b.forS()) f *= b.factor();
    return f;
  }

  static double[] zipf(int n, double skew) {
    double[] cdf = new double[n];
    double sum = 0;
    for (int i = 0; i < n; i++) cdf[i] = sum += 1 / Math.pow(i + 1, skew);
    for (int i = 0; i < n; i++) cdf[i] /= sum;
    return cdf;
  }

  static int pick(double[] cdf, double u) {
    int lo = 0;
    int hi = cdf.length - 1;
    while (lo < hi) {
      int mid = (lo + hi) >>> 1;
      if (cdf[mid] < u) lo = mid + 1;
      else hi = mid;
    }
    return lo;
  }
}
