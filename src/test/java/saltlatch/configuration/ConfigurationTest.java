package saltlatch.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings;
import saltlatch.wire.configuration.ConfigurationCodec;

/**
 * Agreed rules as a model in virtual time: nodes with drifting clocks, pauses and cuts, and one
 * register of versions.
 */
class ConfigurationTest {
  private static final long SECOND = 10_000;
  private static final LeaseTimings TERMS = new LeaseTimings(LeaseTimings.RENEWAL);

  private static SharedConfiguration rules(double rate, SharedConfiguration.Expired expired,
      String... pins) {
    GatewaySettings.RequestClass f = new GatewaySettings.RequestClass(
        GatewaySettings.RetrySafety.IDEMPOTENT, GatewaySettings.KeyScope.ALL, 0, 1_000, 2_000, 1);
    return new SharedConfiguration(new ConfigurationVersion(1, 0),
        Map.of("plan", new GatewaySettings.QuotaPlan(rate, 4 * rate, 0, 0, 0, 1)),
        Map.of("read", f), new SharedConfiguration.Limits(4, 1_000), new TreeSet<>(),
        // the model has up to five
        new TreeSet<>(), new TreeSet<>(), new TreeSet<>(List.of("n0", "n1", "n2")),
        new TreeSet<>(List.of(pins)), expired);
  }

  /**
   * Nodes, a register that answers as of one moment between asking and answer, and clients at every
   * node each 50 ms.
   */
  private static final class World {
    private record Step(long at, long order, Runnable then) {}

    final SplittableRandom chance;
    final ConfigurationRegister register = new ConfigurationRegister();
    final ActivationCoordinator council = new ActivationCoordinator(TERMS, 0);
    final List<ConfigurationFollower> nodes = new ArrayList<>();
    final boolean[] paused;
    final boolean[] cut;
    final double[] drift;
    final List<SharedConfiguration> inForce = new ArrayList<>();
    final List<Long> since = new ArrayList<>();
    final PriorityQueue<Step> steps = new PriorityQueue<>(
        (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    long now;
    long order;
    long longest; // for which one acted on a version that another, in force, contradicts
    long decided;
    long deniedForLease;
    double slowest = SECOND; // the longest way of a message

    World(int n, long seed, boolean fromReceipt) {
      chance = new SplittableRandom(seed);
      paused = new boolean[n];
      cut = new boolean[n];
      drift = new double[n];
      for (int i = 0; i < n; i++) {
        int me = i;
        drift[i] = 1 + 0.02 * (chance.nextDouble() - 0.5);
        ConfigurationFollower.Out out = new ConfigurationFollower.Out() {
          @Override
          public void renew(long number, ConfigurationFollower.Report report) {
            after(way(), () -> {
              if (cut[me]) return;
              council.reported(now, report);
              boolean has = register.inForce() == null
                  || register.inForce().version().equals(report.acts())
                  || register.inForce().version().equals(report.prepared());
              ConfigurationFollower.Answer a = new ConfigurationFollower.Answer(
                  register.inForce() == null ? ConfigurationVersion.NONE
                      : register.inForce().version(),
                  has ? null : register.inForce(), register.offered());
              after(way(), () -> {
                if (!cut[me] && !paused[me]) nodes.get(me).answered(clock(me), number, a);
              });
            });
          }

          @Override
          public void acts(SharedConfiguration on, ConfigurationConflicts before) {}
        };
        nodes.add(fromReceipt
            ? new ConfigurationFollower("n" + i, TERMS, null, seed + i, 0, (r, o) -> null, out) {
              @Override
              long leaseFrom(long sent, long at) {
                return at;
              }
            } : new ConfigurationFollower("n" + i, TERMS, null, seed + i, 0, (r, o) -> null, out));
      }
      turn();
    }

    long way() {
      return 1 + (long) (slowest * chance.nextDouble() * chance.nextDouble() * chance.nextDouble());
    }

    long clock(int i) {
      return (long) (now * drift[i]);
    }

    void after(long time, Runnable then) {
      steps.add(new Step(now + time, order++, then));
    }

    void turn() {
      for (int i = 0; i < nodes.size(); i++) {
        if (paused[i]) continue;
        decide(i); // a resumed one decides what had queued before it hears or says anything
        nodes.get(i).tick(clock(i));
      }
      ConfigurationRegister.Op op = council.due(now, register.inForce(), register.offered());
      if (op != null) {
        register.apply(op);
        if (op instanceof ConfigurationRegister.Op.Activate) {
          inForce.add(register.inForce());
          since.add(now);
        }
      }
      after(500, this::turn);
    }

    void decide(int i) {
      ConfigurationFollower f = nodes.get(i);
      if (f.acts() == null) return;
      if (!f.isCurrent(clock(i)) && f.mayBeContradicted("plan", "read", 7)) {
        deniedForLease++;
        return;
      }
      decided++;
      for (int k = 0; k < inForce.size(); k++) {
        if (!inForce.get(k).version().isAfter(f.acts().version())) continue;
        if (!ConfigurationConflicts.between(f.acts(), inForce.get(k)).touch("plan", "read", 7))
          continue;
        longest = Math.max(longest, now - since.get(k));
        break;
      }
    }

    void pass(long time) {
      long until = now + time;
      while (!steps.isEmpty() && steps.peek().at <= until) {
        Step s = steps.poll();
        now = s.at;
        s.then.run();
      }
      now = until;
    }

    String put(SharedConfiguration r) {
      return register.apply(new ConfigurationRegister.Op.Put(register.newest(), r));
    }
  }

  /**
   * A schedule of versions every 2 s under pauses, cuts and slow ways; how long a contradiction
   * lasted at most.
   */
  private static World play(int seed, boolean fromReceipt) {
    SplittableRandom chance = new SplittableRandom(seed);
    int n = 2 + chance.nextInt(4);
    World w = new World(n, seed, fromReceipt);
    if (chance.nextInt(3) == 0) w.slowest = 4 * SECOND;
    SharedConfiguration.Expired expired = chance.nextInt(4) == 0 ? SharedConfiguration.Expired.WAIT
        : SharedConfiguration.Expired.DENY;
    for (int i = 0; i < 20; i++) {
      w.put(rules(1 + chance.nextInt(9), expired));
      int who = chance.nextInt(n);
      switch (chance.nextInt(4)) {
        case 0 -> w.paused[who] = !w.paused[who];
        case 1 -> w.cut[who] = !w.cut[who];
        default -> {}
      }
      w.pass(2 * SECOND);
    }
    return w;
  }

  @Property(tries = 200, seed = "51")
  void noContradictionOutlastsTheStatedTime(@ForAll @IntRange(max = 1_000_000) int seed) {
    World w = play(seed, false);
    assertTrue(w.longest <= TERMS.contradictedAtMost(),
        w.longest / 10 + " ms, stated " + TERMS.contradictedAtMost() / 10);
  }

  /**
   * The planted fault that the same schedules must find: a lease counted from the answer's receipt.
   */
  @Test
  void aLeaseFromReceiptIsFound() {
    int found = 0;
    for (int seed = 0; seed < 300; seed++)
      found += play(seed, true).longest > TERMS.contradictedAtMost() ? 1 : 0;
    assertTrue(found > 0, "no schedule of 300 found it");
  }

  /**
   * Without trouble a version is in force at all nodes within a few renewals, and nobody denies for
   * want of a lease.
   */
  @Test
  void aVersionComesIntoForce() {
    World w = new World(5, 3, false);
    w.slowest = 500;
    w.put(rules(5, SharedConfiguration.Expired.DENY));
    w.pass(20 * SECOND);
    assertEquals("offered 1.2", w.put(rules(3, SharedConfiguration.Expired.DENY)));
    long denied = w.deniedForLease;
    w.pass(5 * SECOND);
    for (ConfigurationFollower f : w.nodes)
      assertEquals(new ConfigurationVersion(1, 2), f.acts().version());
    assertEquals(denied, w.deniedForLease);
    assertTrue(w.longest <= TERMS.contradictedAtMost() && w.decided > 100);
  }

  /**
   * One cut off stops a version that waits for it, and not one that lets it deny; status says for
   * whom it waits.
   */
  @Test
  void aMissingNode() {
    for (SharedConfiguration.Expired how : SharedConfiguration.Expired.values()) {
      World w = new World(3, 4, false);
      w.slowest = 500;
      w.put(rules(5, how));
      w.pass(10 * SECOND);
      w.cut[1] = true;
      w.put(rules(3, how));
      w.pass(30 * SECOND);
      boolean waits = how == SharedConfiguration.Expired.WAIT;
      assertEquals(new ConfigurationVersion(1, waits ? 1 : 2), w.register.inForce().version());
      assertEquals(waits ? List.of("n1") : List.of(), waits
          ? w.council.waitsFor(w.now, w.register.inForce(), w.register.offered()) : List.of());
      assertEquals(waits, w.deniedForLease == 0);
    }
  }

  /**
   * An old version sent again, a put made for an old one, a second at once, a pinned key: each
   * refused with its reason.
   */
  @Test
  void theRegisterNeverGoesBackwards() {
    ConfigurationRegister r = new ConfigurationRegister();
    assertEquals("offered 1.1", r.apply(new ConfigurationRegister.Op.Put(ConfigurationVersion.NONE,
        rules(5, SharedConfiguration.Expired.DENY, "plans.plan"))));
    assertTrue(r.apply(new ConfigurationRegister.Op.Put(ConfigurationVersion.NONE,
        rules(6, SharedConfiguration.Expired.DENY))).startsWith("refused: made for"));
    assertTrue(r.apply(
        new ConfigurationRegister.Op.Put(r.newest(), rules(6, SharedConfiguration.Expired.DENY)))
        .contains("still offered"));
    assertEquals("in force 1.1",
        r.apply(new ConfigurationRegister.Op.Activate(new ConfigurationVersion(1, 1))));
    assertTrue(r.apply(new ConfigurationRegister.Op.Activate(new ConfigurationVersion(1, 1)))
        .startsWith("old:"));
    assertTrue(r.apply(
        new ConfigurationRegister.Op.Put(r.newest(), rules(4, SharedConfiguration.Expired.DENY)))
        .contains("pinned in epoch 1: plans.plan"));
    SharedConfiguration bad = rules(0, SharedConfiguration.Expired.DENY)
        .as(new ConfigurationVersion(0, 0));
    assertTrue(r.apply(new ConfigurationRegister.Op.Put(r.newest(), bad))
        .startsWith("refused: epoch 0 is over"));
    assertEquals("offered 2.1", r.apply(new ConfigurationRegister.Op.Put(r.newest(),
        rules(4, SharedConfiguration.Expired.DENY).as(new ConfigurationVersion(2, 0)))));
    assertEquals("rejected 2.1",
        r.apply(new ConfigurationRegister.Op.Reject(new ConfigurationVersion(2, 1), "n1",
            "plans.plan: reserved is more")));
    assertEquals(new ConfigurationVersion(1, 1), r.inForce().version());
    ConfigurationRegister again = new ConfigurationRegister();
    again.restore(r.state());
    assertEquals(r.state(), again.state());
  }

  /**
   * A node's objection, such as a quota cut below what is reserved, keeps the last good version
   * everywhere.
   */
  @Test
  void oneObjectionIsEnough() {
    ConfigurationRegister register = new ConfigurationRegister();
    ActivationCoordinator council = new ActivationCoordinator(TERMS, 0);
    register.apply(new ConfigurationRegister.Op.Put(ConfigurationVersion.NONE,
        rules(5, SharedConfiguration.Expired.DENY)));
    ConfigurationVersion v = register.offered().version();
    long now = TERMS.leaseOver() + 1;
    council.reported(now,
        new ConfigurationFollower.Report("n0", ConfigurationVersion.NONE, v, null, null));
    council.reported(now, new ConfigurationFollower.Report("n1", ConfigurationVersion.NONE,
        ConfigurationVersion.NONE, v, "plans.plan: 60 units are reserved"));
    assertEquals("rejected 1.1", register.apply(council.due(now, null, register.offered())));
    assertEquals(null, register.inForce());
    assertEquals("n1: plans.plan: 60 units are reserved", register.state().outcomes().get(0).why());
    assertFalse(council.seen(now).isEmpty());
  }

  /**
   * A keeper that was set back confirms nothing, and a late answer to an earlier renewal neither.
   */
  @Test
  void oldAnswersConfirmNothing() {
    List<Long> numbers = new ArrayList<>();
    ConfigurationFollower f = new ConfigurationFollower("n0", TERMS, null, 1, 0, (r, o) -> null,
        new ConfigurationFollower.Out() {
          @Override
          public void renew(long number, ConfigurationFollower.Report report) {
            numbers.add(number);
          }

          @Override
          public void acts(SharedConfiguration on, ConfigurationConflicts before) {}
        });
    SharedConfiguration two = rules(5, SharedConfiguration.Expired.DENY)
        .as(new ConfigurationVersion(1, 2));
    f.tick(0);
    f.answered(100, numbers.get(0), new ConfigurationFollower.Answer(two.version(), two, null));
    assertTrue(f.isCurrent(TERMS.lease() - 1) && !f.isCurrent(TERMS.lease()));
    f.tick(2 * SECOND);
    SharedConfiguration one = rules(9, SharedConfiguration.Expired.DENY)
        .as(new ConfigurationVersion(1, 1));
    f.answered(2 * SECOND + 1, numbers.get(1),
        new ConfigurationFollower.Answer(one.version(), one, null));
    assertEquals(two, f.acts());
    assertFalse(f.isCurrent(TERMS.lease()));
    f.answered(2 * SECOND + 2, numbers.get(0),
        new ConfigurationFollower.Answer(two.version(), null, null));
    assertFalse(f.isCurrent(TERMS.lease()));
  }

  /**
   * A rule set is read back as it was written; one misspelt key, or one of another kind, is refused
   * by its name.
   */
  @Test
  void theFormRefusesByKey() throws ConfigurationCodec.Malformed {
    SharedConfiguration r = rules(5, SharedConfiguration.Expired.WAIT, "plans.plan", "customers");
    r.barred().add(0x9b1f03aaL);
    assertEquals(r, ConfigurationCodec.read(ConfigurationCodec.write(r)));
    assertEquals(ConfigurationCodec.hash(r),
        ConfigurationCodec.hash(r.as(new ConfigurationVersion(2, 7))));
    String text = ConfigurationCodec.write(r);
    Map<String, String> bad = Map.of("\"plans\"", "\"plan\"", "\"burst\":20.0", "\"burst\":\"x\"",
        "\"replayable\"", "\"maybe\"", "\"9b1f03aa\"", "\"nobody\"", "\"send_cap\":4",
        "\"send_cap\":4.5");
    List<String> told = new ArrayList<>();
    bad.forEach((from, to) -> {
      try {
        ConfigurationCodec.read(text.replace(from, to));
      } catch (ConfigurationCodec.Malformed e) {
        told.add(e.getMessage());
      }
    });
    told.sort(null);
    assertEquals(
        List.of("barred: nobody is no customer",
            "frontends.read.effect: maybe is none of [replayable, uniqued, non_replayable]",
            "limits.send_cap: a whole number", "plan: not known", "plans.plan.burst: no number"),
        told);
    ConfigurationFollower.Answer a = new ConfigurationFollower.Answer(
        new ConfigurationVersion(1, 2), r, null);
    assertEquals(a, ConfigurationCodec.answer(ConfigurationCodec.write(a)));
    ConfigurationFollower.Report report = new ConfigurationFollower.Report("n1",
        new ConfigurationVersion(1, 1), ConfigurationVersion.NONE, new ConfigurationVersion(1, 2),
        "plans.plan: no");
    assertEquals(report, ConfigurationCodec.report(ConfigurationCodec.write(report)));
  }
}
