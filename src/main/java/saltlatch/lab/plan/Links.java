package saltlatch.lab.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import saltlatch.lab.scenario.Group;
import saltlatch.lab.scenario.Scenario.LinkFault;

/**
 * Applies the scenario's link faults to the traffic between two endpoints, separately for each
 * direction. It does no I/O and reads no clock. Each direction of a link has its own random
 * generator, so that the traffic of one link does not change the losses and delays of another.
 */
public final class Links {
  // A lost TCP segment arrives later by at least the minimum retransmission time-out.
  private static final double RETRANSMISSION_MS = 200;

  private record Rule(LinkFault fault, Group from, Group to) {
    boolean touches(String sender, String receiver) {
      return (from.holds(sender) && to.holds(receiver))
          || (!fault.oneWay() && from.holds(receiver) && to.holds(sender));
    }
  }

  private final List<Rule> rules = new ArrayList<>();
  private final Map<String, SplittableRandom> generators = new HashMap<>();
  private final long seed;

  /** Creates the links of one run; losses and random delays are drawn from {@code seed}. */
  public Links(List<LinkFault> faults, long seed) {
    this.seed = seed;
    for (LinkFault fault : faults) {
      rules.add(new Rule(fault, Group.of(fault.from()), Group.of(fault.to())));
    }
  }

  /**
   * Returns whether any fault affects this pair of endpoints at any time, in either direction. Only
   * such links need a relay.
   */
  public boolean everTouches(String one, String other) {
    return rules.stream().anyMatch(rule -> rule.touches(one, other) || rule.touches(other, one));
  }

  /**
   * Returns whether the link from {@code sender} to {@code receiver} carries nothing at {@code ms}
   * since the start: it is cut, or it is flapping and in the first half of a period.
   */
  public boolean cut(String sender, String receiver, double ms) {
    for (Rule rule : rules) {
      LinkFault fault = rule.fault;
      if (!fault.holds(ms) || !rule.touches(sender, receiver)) continue;
      if (fault.kind().equals("cut")) return true;
      if (fault.kind().equals("flap")
          && (ms - fault.atS() * 1000) % fault.periodMs() < fault.periodMs() / 2)
        return true;
    }
    return false;
  }

  /**
   * Returns the delay in ms of each copy of a datagram that arrives; the list is empty if the
   * datagram is lost.
   */
  public List<Double> datagram(String sender, String receiver, double ms) {
    List<Double> delaysMs = new ArrayList<>();
    if (cut(sender, receiver, ms)) return delaysMs;
    delaysMs.add(0.0);
    SplittableRandom random = generator(sender, receiver);
    for (Rule rule : rules) {
      LinkFault fault = rule.fault;
      if (!fault.holds(ms) || !rule.touches(sender, receiver)) continue;
      switch (fault.kind()) {
        case "loss" -> delaysMs.removeIf(delayMs -> random.nextDouble() < fault.share());
        case "delay" -> delaysMs.replaceAll(delayMs -> delayMs + fault.extraMs());
        case "reorder" -> delaysMs.replaceAll(delayMs -> random.nextDouble() < fault.share()
            ? delayMs + fault.extraMs() * random.nextDouble() : delayMs);
        case "duplicate" -> {
          if (!delaysMs.isEmpty() && random.nextDouble() < fault.share())
            delaysMs.add(delaysMs.get(0) + fault.extraMs());
        }
        default -> {}
      }
    }
    return delaysMs;
  }

  /**
   * Returns the delay in ms of bytes on a TCP connection. TCP keeps the order and sends a lost
   * segment again, so a loss only adds the retransmission time-out.
   */
  public double stream(String sender, String receiver, double ms) {
    double delayMs = 0;
    for (Rule rule : rules) {
      LinkFault fault = rule.fault;
      if (!fault.holds(ms) || !rule.touches(sender, receiver)) continue;
      if (fault.kind().equals("delay")) delayMs += fault.extraMs();
      if (fault.kind().equals("loss") && generator(sender, receiver).nextDouble() < fault.share())
        delayMs += RETRANSMISSION_MS;
    }
    return delayMs;
  }

  private SplittableRandom generator(String sender, String receiver) {
    return generators.computeIfAbsent(sender + ">" + receiver,
        key -> new SplittableRandom(seed * 0x9E3779B97F4A7C15L + key.hashCode()));
  }
}
