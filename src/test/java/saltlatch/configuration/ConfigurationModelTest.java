package saltlatch.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import saltlatch.api.Ticks;
import saltlatch.configuration.SharedConfiguration.LeaseExpiryPolicy;

/**
 * Tests the shared configuration with a model in virtual time: nodes with drifting clocks, pauses
 * and network partitions, and one register of versions.
 */
class ConfigurationModelTest {
  private static final LeaseTimings TIMINGS = new LeaseTimings(LeaseTimings.DEFAULT_RENEWAL_TICKS);

  /**
   * A model of up to 5 nodes, of which 3 are members, and a register. The register's response to a
   * renewal is its state at one point in time between the renewal and the response. Each node
   * receives a request every 50 ms.
   */
  private static final class Model {
    private record ScheduledTask(long atTicks, long order, Runnable task) {}

    private static final long TURN_TICKS = 50 * Ticks.PER_MILLISECOND;

    final SplittableRandom random;
    final ConfigurationRegister register = new ConfigurationRegister();
    final ActivationCoordinator coordinator = new ActivationCoordinator(TIMINGS, 0);
    final List<ConfigurationFollower> followers = new ArrayList<>();
    final boolean[] paused;
    final boolean[] partitioned;
    final double[] clockRate;
    final List<SharedConfiguration> activated = new ArrayList<>();
    final List<Long> activatedAtTicks = new ArrayList<>();
    final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>(
        (a, b) -> a.atTicks != b.atTicks ? Long.compare(a.atTicks, b.atTicks)
            : Long.compare(a.order, b.order));
    long nowTicks;
    long nextOrder;
    // longest time for which a node acted on a version after a conflicting one became active
    long longestConflictTicks;
    long decidedRequests;
    long requestsRejectedWithoutLease;
    double maxDelayTicks = Ticks.PER_SECOND; // longest delay of a message

    Model(int nodes, long seed, boolean leaseFromReceipt) {
      random = new SplittableRandom(seed);
      paused = new boolean[nodes];
      partitioned = new boolean[nodes];
      clockRate = new double[nodes];
      for (int node = 0; node < nodes; node++) {
        clockRate[node] = 1 + 0.02 * (random.nextDouble() - 0.5);
        followers.add(follower(node, seed + node, leaseFromReceipt));
      }
      runTurn();
    }

    ConfigurationFollower follower(int node, long seed, boolean leaseFromReceipt) {
      ConfigurationFollower.LocalCheck noObjection = (active, proposed) -> null;
      if (!leaseFromReceipt) return new ConfigurationFollower("n" + node, TIMINGS, null, seed, 0,
          noObjection, actions(node));
      return new ConfigurationFollower("n" + node, TIMINGS, null, seed, 0, noObjection,
          actions(node)) {
        @Override
        long leaseStartTicks(long renewalSentAtTicks, long receivedAtTicks) {
          return receivedAtTicks;
        }
      };
    }

    ConfigurationFollower.Actions actions(int node) {
      return new ConfigurationFollower.Actions() {
        @Override
        public void renew(long number, LeaseRenewal renewal) {
          after(delayTicks(), () -> {
            if (partitioned[node]) return;
            coordinator.renewalReceived(nowTicks, renewal);
            LeaseResponse response = responseTo(renewal);
            after(delayTicks(), () -> {
              if (partitioned[node] || paused[node]) return;
              followers.get(node).responseReceived(clockTicks(node), number, response);
            });
          });
        }

        @Override
        public void activated(SharedConfiguration configuration,
            ConfigurationConflicts conflicts) {}
      };
    }

    LeaseResponse responseTo(LeaseRenewal renewal) {
      SharedConfiguration active = register.active();
      boolean nodeHasActive = active == null || active.version().equals(renewal.active())
          || active.version().equals(renewal.prepared());
      return new LeaseResponse(active == null ? ConfigurationVersion.NONE : active.version(),
          nodeHasActive ? null : active, register.proposed());
    }

    long delayTicks() {
      return 1 + (long) (maxDelayTicks * random.nextDouble() * random.nextDouble()
          * random.nextDouble());
    }

    long clockTicks(int node) {
      return (long) (nowTicks * clockRate[node]);
    }

    void after(long ticks, Runnable task) {
      scheduledTasks.add(new ScheduledTask(nowTicks + ticks, nextOrder++, task));
    }

    void runTurn() {
      for (int node = 0; node < followers.size(); node++) {
        if (paused[node]) continue;
        decide(node); // a resumed node decides queued requests before it sends or receives
        followers.get(node).tick(clockTicks(node));
      }
      ConfigurationRegister.Operation operation = coordinator.nextOperation(nowTicks,
          register.active(), register.proposed());
      if (operation != null) {
        register.apply(operation);
        if (operation instanceof ConfigurationRegister.Operation.Activate) {
          activated.add(register.active());
          activatedAtTicks.add(nowTicks);
        }
      }
      after(TURN_TICKS, this::runTurn);
    }

    void decide(int node) {
      ConfigurationFollower follower = followers.get(node);
      if (follower.active() == null) return;
      if (!follower.holdsLease(clockTicks(node)) && follower.mayConflict("plan", "read", 7)) {
        requestsRejectedWithoutLease++;
        return;
      }
      decidedRequests++;
      recordConflict(follower.active());
    }

    void recordConflict(SharedConfiguration used) {
      for (int index = 0; index < activated.size(); index++) {
        SharedConfiguration later = activated.get(index);
        if (!later.version().isAfter(used.version())) continue;
        if (!ConfigurationConflicts.between(used, later).affects("plan", "read", 7)) continue;
        longestConflictTicks = Math.max(longestConflictTicks,
            nowTicks - activatedAtTicks.get(index));
        break;
      }
    }

    void run(long ticks) {
      long untilTicks = nowTicks + ticks;
      while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atTicks <= untilTicks) {
        ScheduledTask next = scheduledTasks.poll();
        nowTicks = next.atTicks;
        next.task.run();
      }
      nowTicks = untilTicks;
    }

    OperationResult propose(SharedConfiguration configuration) {
      return register
          .apply(new ConfigurationRegister.Operation.Propose(register.newest(), configuration));
    }
  }

  /**
   * Runs a model in which a version is proposed every 2 s, under pauses, partitions and slow
   * messages.
   */
  private static Model run(int seed, boolean leaseFromReceipt) {
    SplittableRandom random = new SplittableRandom(seed);
    int nodes = 2 + random.nextInt(4);
    Model model = new Model(nodes, seed, leaseFromReceipt);
    if (random.nextInt(3) == 0) model.maxDelayTicks = 4 * Ticks.PER_SECOND;
    LeaseExpiryPolicy leaseExpiryPolicy = random.nextInt(4) == 0
        ? LeaseExpiryPolicy.DELAY_ACTIVATION : LeaseExpiryPolicy.REJECT_REQUESTS;
    for (int proposal = 0; proposal < 20; proposal++) {
      model.propose(Configurations.withRate(1 + random.nextInt(9), leaseExpiryPolicy));
      int node = random.nextInt(nodes);
      switch (random.nextInt(4)) {
        case 0 -> model.paused[node] = !model.paused[node];
        case 1 -> model.partitioned[node] = !model.partitioned[node];
        default -> {}
      }
      model.run(2 * Ticks.PER_SECOND);
    }
    return model;
  }

  /**
   * Guards against nodes that act on conflicting versions for longer than {@link
   * LeaseTimings#maxConflictTicks} under pauses, partitions, clock drift and slow messages.
   */
  @Property(tries = 200, seed = "51")
  void noConflictLastsLongerThanMaxConflictTicks(@ForAll @IntRange(max = 1_000_000) int seed) {
    Model model = run(seed, false);
    assertTrue(model.longestConflictTicks <= TIMINGS.maxConflictTicks(),
        "expected conflicts of at most " + TIMINGS.maxConflictTicks() / Ticks.PER_MILLISECOND
            + " ms, found " + model.longestConflictTicks / Ticks.PER_MILLISECOND + " ms");
  }

  /**
   * Checks that the model detects a fault: a follower that counts its lease from the receipt of a
   * response acts on an old version for too long after a slow response.
   */
  @Test
  void modelDetectsLeasesCountedFromTheReceipt() {
    int detections = 0;
    for (int seed = 0; seed < 300; seed++)
      detections += run(seed, true).longestConflictTicks > TIMINGS.maxConflictTicks() ? 1 : 0;
    assertTrue(detections > 0, "expected a conflict longer than "
        + TIMINGS.maxConflictTicks() / Ticks.PER_MILLISECOND + " ms, found none in 300 runs");
  }

  /**
   * Guards against slow activation: without faults, a version must be active at all nodes within
   * 5 s of its proposal, and no node may reject requests because it has no lease.
   */
  @Test
  void withoutFaultsAVersionBecomesActiveAtAllNodes() {
    Model model = new Model(5, 3, false);
    model.maxDelayTicks = 500;
    model.propose(Configurations.withRate(5, LeaseExpiryPolicy.REJECT_REQUESTS));
    model.run(20 * Ticks.PER_SECOND);
    OperationResult result = model
        .propose(Configurations.withRate(3, LeaseExpiryPolicy.REJECT_REQUESTS));
    assertEquals(OperationResult.Status.PROPOSED, result.status());
    assertEquals("offered 1.2", result.description());
    long rejectedBefore = model.requestsRejectedWithoutLease;
    model.run(5 * Ticks.PER_SECOND);
    for (ConfigurationFollower follower : model.followers)
      assertEquals(new ConfigurationVersion(1, 2), follower.active().version());
    assertEquals(rejectedBefore, model.requestsRejectedWithoutLease);
    assertTrue(
        model.longestConflictTicks <= TIMINGS.maxConflictTicks() && model.decidedRequests > 100);
  }

  /**
   * Guards against both wrong reactions to a partitioned node. With DELAY_ACTIVATION, the
   * activation must wait for the node, and the coordinator must report it as blocking. With
   * REJECT_REQUESTS, the version is activated without the node, which rejects requests.
   */
  @Test
  void partitionedNodeBlocksActivationOrRejectsRequests() {
    for (LeaseExpiryPolicy leaseExpiryPolicy : LeaseExpiryPolicy.values()) {
      Model model = new Model(3, 4, false);
      model.maxDelayTicks = 500;
      model.propose(Configurations.withRate(5, leaseExpiryPolicy));
      model.run(10 * Ticks.PER_SECOND);
      model.partitioned[1] = true;
      model.propose(Configurations.withRate(3, leaseExpiryPolicy));
      model.run(30 * Ticks.PER_SECOND);
      boolean delaysActivation = leaseExpiryPolicy == LeaseExpiryPolicy.DELAY_ACTIVATION;
      ConfigurationRegister register = model.register;
      assertEquals(new ConfigurationVersion(1, delaysActivation ? 1 : 2),
          register.active().version());
      assertEquals(delaysActivation ? List.of("n1") : List.of(), delaysActivation
          ? model.coordinator.blockingNodes(model.nowTicks, register.active(), register.proposed())
          : List.of());
      assertEquals(delaysActivation, model.requestsRejectedWithoutLease == 0);
    }
  }
}
