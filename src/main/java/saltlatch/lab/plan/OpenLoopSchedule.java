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
 * The schedule of the requests offered in a run, fixed before the first request is sent. The load
 * is open-loop: a late answer never delays the next arrival, so there is no coordinated omission.
 * Arrivals are a Poisson process at the scenario's rate times any burst factor, customers are drawn
 * from a Zipf distribution, and every draw is made from one {@link SplittableRandom} with the
 * scenario's seed. The class does no I/O and reads no clock.
 */
public final class OpenLoopSchedule {
  /**
   * One request to send, {@code atUs} microseconds after the start. {@code abandonUs} is the time
   * after the arrival at which the client gives up, or 0 if it waits until its client timeout.
   */
  public record Arrival(long atUs, long customer, String id, boolean submit, int units,
      long deadlineMs, long abandonUs, int eagerTries) {}

  // Limits the memory of a schedule: 2 million arrivals of 80 B take at most 160 MB.
  private static final int MAX_ARRIVALS = 2_000_000;

  private OpenLoopSchedule() {}

  /**
   * Returns the complete schedule in order of time. The same scenario and seed give the same list.
   */
  public static List<Arrival> of(Scenario scenario) {
    Scenario.Load load = scenario.load();
    SplittableRandom random = new SplittableRandom(scenario.seed() ^ 0x5eed_0ffeL);
    double[] cdf = zipf(load.customers(), load.zipf());
    long endUs = (long) (scenario.seconds() * 1e6);
    List<Arrival> arrivals = new ArrayList<>();
    double timeUs = 0;
    long number = 0;
    while (arrivals.size() < MAX_ARRIVALS) {
      double rate = load.rate() * burstFactor(load.bursts(), timeUs / 1e6);
      timeUs += -Math.log(1 - random.nextDouble()) / rate * 1e6;
      if (timeUs >= endUs) break;
      long customer = 1L + pick(cdf, random.nextDouble());
      boolean submit = random.nextDouble() < load.submitShare();
      int units = load.unitsMin() + random.nextInt(load.unitsMax() - load.unitsMin() + 1);
      long deadlineMs = (long) load.deadlineMs();
      long abandonUs = random.nextDouble() < load.giveUpShare()
          ? (long) (deadlineMs * 1000 * load.giveUpAt()) : 0;
      int eagerTries = random.nextDouble() < load.eagerShare() ? load.eagerTries() : 0;
      String id = String.format("%016x", scenario.seed() * 0x9E3779B97F4A7C15L + ++number);
      arrivals.add(new Arrival((long) timeUs, customer, id, submit, units, deadlineMs, abandonUs,
          eagerTries));
    }
    return arrivals;
  }

  /**
   * Returns the SHA-256 digest of the schedule's fields in hexadecimal. Two runs of one scenario
   * with one seed have the same digest.
   */
  public static String digest(List<Arrival> arrivals) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      ByteBuffer fields = ByteBuffer.allocate(64);
      for (Arrival arrival : arrivals) {
        fields.clear();
        fields.putLong(arrival.atUs).putLong(arrival.customer).putLong(arrival.id.hashCode())
            .put((byte) (arrival.submit ? 1 : 0)).putInt(arrival.units).putLong(arrival.deadlineMs)
            .putLong(arrival.abandonUs).putInt(arrival.eagerTries);
        digest.update(fields.array(), 0, fields.position());
      }
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the product of the factors of all bursts that are active at {@code atS}. */
  static double burstFactor(List<Scenario.Burst> bursts, double atS) {
    double factor = 1;
    for (Scenario.Burst burst : bursts) {
      if (atS >= burst.atS() && atS < burst.atS() + burst.forS()) factor *= burst.factor();
    }
    return factor;
  }

  /** Returns the cumulative Zipf distribution over {@code count} ranks. */
  static double[] zipf(int count, double skew) {
    double[] cdf = new double[count];
    double sum = 0;
    for (int i = 0; i < count; i++) cdf[i] = sum += 1 / Math.pow(i + 1, skew);
    for (int i = 0; i < count; i++) cdf[i] /= sum;
    return cdf;
  }

  /** Returns the first rank whose cumulative probability is not below {@code probability}. */
  static int pick(double[] cdf, double probability) {
    int low = 0;
    int high = cdf.length - 1;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (cdf[middle] < probability) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
