package saltlatch.lab.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import saltlatch.lab.scenario.Group;
import saltlatch.lab.scenario.Scenario.LinkFault;

/**
 * What becomes of traffic between two endpoints by the scenario's link faults, each direction on
 * its own. No I/O, no clock; every link draws from a generator of its own, so one link's traffic
 * does not change another's fate.
 */
public final class Links {
  // ms: a lost TCP segment comes a least retransmission time-out later
  private static final double RESENT_MS = 200;

  private record Rule(LinkFault fault, Group from, Group to) {
    boolean touches(String a, String b) {
      return (from.holds(a) && to.holds(b)) || (!fault.oneWay() && from.holds(b) && to.holds(a));
    }
  }

  private final List<Rule> rules = new ArrayList<>();
  private final Map<String, SplittableRandom> chances = new HashMap<>();
  private final long seed;

  public Links(List<LinkFault> faults, long seed) {
    this.seed = seed;
    for (LinkFault f : faults) rules.add(new Rule(f, Group.of(f.from()), Group.of(f.to())));
  }

  /**
   * Whether any fault ever touches this pair, in either direction: only such links need a relay.
   */
  public boolean everTouches(String a, String b) {
    return rules.stream().anyMatch(r -> r.touches(a, b) || r.touches(b, a));
  }

  /**
   * Nothing gets from {@code a} to {@code b} at {@code ms}: a cut, or the dead half of a flapping
   * link's period.
   */
  public boolean cut(String a, String b, double ms) {
    for (Rule r : rules) {
      LinkFault f = r.fault;
      if (!f.holds(ms) || !r.touches(a, b)) continue;
      if (f.kind().equals("cut")) return true;
      if (f.kind().equals("flap") && (ms - f.atS() * 1000) % f.periodMs() < f.periodMs() / 2)
        return true;
    }
    return false;
  }

  /** The delays in ms of the copies of a datagram that get through, none if it is lost. */
  public List<Double> datagram(String a, String b, double ms) {
    List<Double> copies = new ArrayList<>();
    if (cut(a, b, ms)) return copies;
    copies.add(0.0);
    SplittableRandom chance = chance(a, b);
    for (Rule r : rules) {
      LinkFault f = r.fault;
      if (!f.holds(ms) || !r.touches(a, b)) continue;
      switch (f.kind()) {
        case "loss" -> copies.removeIf(d -> chance.nextDouble() < f.share());
        case "delay" -> copies.replaceAll(d -> d + f.extraMs());
        case "reorder" -> copies.replaceAll(
            d -> chance.nextDouble() < f.share() ? d + f.extraMs() * chance.nextDouble() : d);
        case "duplicate" -> {
          if (!copies.isEmpty() && chance.nextDouble() < f.share())
            copies.add(copies.get(0) + f.extraMs());
        }
        default -> {}
      }
    }
    return copies;
  }

  /**
   * The delay in ms of bytes on a TCP connection, whose order holds: a lost segment is sent again.
   */
  public double stream(String a, String b, double ms) {
    double delay = 0;
    for (Rule r : rules) {
      LinkFault f = r.fault;
      if (!f.holds(ms) || !r.touches(a, b)) continue;
      if (f.kind().equals("delay")) delay += f.extraMs();
      if (f.kind().equals("loss") && chance(a, b).nextDouble() < f.share()) delay += RESENT_MS;
    }
    return delay;
  }

  private SplittableRandom chance(String a, String b) {
    return chances.computeIfAbsent(a + ">" + b,
        k -> new SplittableRandom(seed * 0x9E3779B97F4A7C15L + k.hashCode()));
  }
}
