package saltlatch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GossipMessage;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.Quantity;
import saltlatch.membership.MembershipTimings;

/**
 * Tests the roles' formulas and the scaling limits: how figures change when an input doubles, and
 * which figures are missing without measurements.
 */
class RolesTest {
  private static final double TOLERANCE = 1e-9;

  private static Row row(Role role, CapacityModel model, String what, LoadCondition condition) {
    return role.rows(model).stream()
        .filter(row -> row.what().equals(what) && row.condition() == condition).findFirst()
        .orElseThrow();
  }

  /** Returns the factor by which a figure grows if an input doubles. */
  private static double growth(CapacityModel model, Role role, String what, LoadCondition condition,
      Input doubled) {
    CapacityModel doubledModel = model.with(doubled, 2 * model.inputs().value(doubled));
    Figure before = row(role, model, what, condition).figure();
    return row(role, doubledModel, what, condition).figure().value() / before.value();
  }

  private static double growth(Role role, String what, LoadCondition condition, Input doubled)
      throws Exception {
    return growth(Sample.withMeasurements(), role, what, condition, doubled);
  }

  @Test
  void loadIsDividedAmongTheNodes() throws Exception {
    Role node = new EdgeNode();
    String calls = "calls to the counter, by the assumptions alone";
    assertEquals(0.5, growth(node, calls, LoadCondition.PEAK, Input.EDGE_NODES), TOLERANCE);
    assertEquals(2, growth(node, calls, LoadCondition.PEAK, Input.REQUESTS_PER_SECOND), TOLERANCE);
    assertEquals(2, growth(node, calls, LoadCondition.ORDINARY, Input.DAY_MEAN_OVER_PEAK),
        TOLERANCE);
    assertEquals(2,
        growth(node, "list of app servers, heap", LoadCondition.ORDINARY, Input.APP_SERVERS),
        TOLERANCE);
    assertEquals(2, growth(node, "plans of tenants, heap", LoadCondition.ORDINARY, Input.TENANTS),
        TOLERANCE);
  }

  @Test
  void counterCallsDependOnRequestsNotOnNodes() throws Exception {
    Role counter = new CounterService();
    CapacityModel assumed = Sample.withoutMeasurements();
    assertEquals(2 * 650_000, row(counter, assumed, "calls", LoadCondition.PEAK).figure().value(),
        1e-3);
    assertEquals(1, growth(assumed, counter, "calls", LoadCondition.PEAK, Input.EDGE_NODES),
        TOLERANCE);
    assertEquals(2,
        growth(assumed, counter, "calls", LoadCondition.PEAK, Input.REQUESTS_PER_SECOND),
        TOLERANCE);
    double perNode = Sample.INTERCEPT + Sample.SLOPE * 650_000 / 2700;
    assertEquals(2700 * perNode,
        row(counter, Sample.withMeasurements(), "calls", LoadCondition.PEAK).figure().value(),
        1e-3);
    assertEquals(0.5, growth(counter, "processes that the calls want", LoadCondition.PEAK,
        Input.COUNTER_CALLS_PER_PROCESS), TOLERANCE);
  }

  @Test
  void watchersAndTheirMessagesGrowWithTheNodes() throws Exception {
    Role control = new ControlMachines();
    assertEquals(2,
        growth(control, "watchers of a relay", LoadCondition.ORDINARY, Input.EDGE_NODES),
        TOLERANCE);
    // with more nodes, fewer of the restarts are of app servers, so that there are fewer changes
    double changes = growth(new EdgeNode(), "changes", LoadCondition.PEAK, Input.EDGE_NODES);
    assertEquals(2 * changes,
        growth(control, "messages to watchers", LoadCondition.PEAK, Input.EDGE_NODES), TOLERANCE);
    assertEquals(2, growth(control, "whole lists sent by a relay", LoadCondition.ZONE_STARTS,
        Input.ZONE_STARTS), TOLERANCE);
    CapacityModel model = Sample.withMeasurements();
    double watchersAfterLoss = row(control, model, "watchers of each relay left",
        LoadCondition.MACHINE_LOST).figure().value();
    assertEquals(model.inputs().value(Input.EDGE_NODES) / 4, watchersAfterLoss, TOLERANCE);
  }

  @Test
  void connectionsDependOnPairsAndRequests() throws Exception {
    Role server = new AppServer();
    assertEquals(2, growth(server, "nodes that send to it, subsets", LoadCondition.PEAK,
        Input.SERVERS_KEPT_PER_SERVICE), TOLERANCE);
    assertEquals(0.5,
        growth(server, "nodes that send to it, subsets", LoadCondition.PEAK, Input.APP_SERVERS),
        TOLERANCE);
    Row all = row(server, Sample.withMeasurements(), "a request of one of these nodes, each",
        LoadCondition.PEAK);
    assertEquals(2700 / (650_000 / 34_000.0), all.figure().value(), TOLERANCE);
  }

  @Test
  void changeRateIncludesConfigurationAndRestarts() throws Exception {
    Rates rates = new Rates(Sample.withMeasurements());
    double listChangesPerDay = 1900 * (34_000 / 36_700.0) * 3;
    assertEquals((8200 + listChangesPerDay) / 86_400, rates.changes().value(), TOLERANCE);
    assertEquals(2 + listChangesPerDay / 86_400, rates.peakChanges().value(), TOLERANCE);
  }

  @Test
  void figuresWithoutMeasurementsAreMissingAndNeverNaN() throws Exception {
    CapacityModel withoutMeasurements = Sample.withoutMeasurements();
    assertFalse(row(new EdgeNode(), withoutMeasurements,
        "process with list and plans, resident, at its highest", LoadCondition.ORDINARY).figure()
        .known());
    CapacityData data = new CapacityData(withoutMeasurements.inputs(), List.of(), List.of(),
        List.of());
    for (Table table : CapacityTables.of(data))
      assertFalse(table.markdown().contains("NaN"), table.name());
    for (Role role : Role.all()) {
      for (Row row : role.rows(withoutMeasurements)) {
        boolean needsMeasurement = row.figure().sources().stream()
            .anyMatch(RolesTest::isMeasurementSource);
        assertEquals(needsMeasurement, needsMeasurement && !row.figure().known(), row.toString());
      }
    }
  }

  private static boolean isMeasurementSource(String source) {
    for (Series test : Series.values()) if (source.startsWith(test.id() + " ")) return true;
    return false;
  }

  @Test
  void confidenceDependsOnTheMeasuredSizes() throws Exception {
    CapacityModel model = Sample.withMeasurements();
    assertEquals(Confidence.MEASURED,
        model.at(Series.MEMBERS_REST, Quantity.CPU_MS, Input.EDGE_NODES).confidence());
    assertEquals(Confidence.EXTRAPOLATED,
        model.at(Series.LIST_REST, Quantity.CPU_MS, Input.APP_SERVERS).confidence());
    assertEquals(Confidence.ASSUMED,
        model.at(Series.LIST_REST, Quantity.CPU_MS, Input.ZONE_STARTS).confidence());
  }

  @Test
  void limitsAreSortedWithMissingOnesLast() throws Exception {
    for (CapacityModel model : List.of(Sample.withMeasurements(), Sample.withoutMeasurements())) {
      List<ScalingLimit> limits = ScalingLimits.of(model, List.of());
      List<Double> knownFractions = new ArrayList<>();
      for (ScalingLimit limit : limits)
        if (limit.fractionOfTarget().known()) knownFractions.add(limit.fractionOfTarget().value());
      assertEquals(knownFractions.stream().sorted().toList(), knownFractions);
      for (int i = 0; i < limits.size(); i++)
        assertEquals(i < knownFractions.size(), limits.get(i).fractionOfTarget().known());
    }
  }

  @Test
  void mechanismsAgainstStoppedNodesComeFirst() throws Exception {
    List<Measurement> lists = List.of(Sample.measurement("list.start", 1, 100),
        Sample.measurement("list.start", 2, 200));
    CapacityData data = new CapacityData(Sample.inputs(), lists, List.of(), List.of());
    Table mechanisms = CapacityTables.of(data).stream()
        .filter(table -> table.name().equals("mechanisms")).findFirst().orElseThrow();
    assertEquals(Mechanism.BOUNDED_LIST.title(), mechanisms.rows().get(0).get(1));
    assertEquals(Mechanism.RUNNING_SETTINGS.title(), mechanisms.rows().get(1).get(1));
  }

  private static ScalingLimit limit(CapacityModel model, List<BenchDay> days, String term) {
    return ScalingLimits.of(model, days).stream().filter(limit -> limit.term().equals(term))
        .findFirst().orElseThrow();
  }

  @Test
  void membershipLimitsMatchMembershipTimings() throws Exception {
    CapacityModel model = Sample.withoutMeasurements();
    double datagrams = model.inputs().value(Input.DATAGRAMS_PER_SECOND);
    long bound = (long) (10_000 * model.inputs().value(Input.TAKEOVER_WITHIN_SECONDS));
    int largestFleet = (int) limit(model, List.of(), "a dead node's share is in use again in time")
        .limit().value();
    assertTrue(MembershipTimings.of(largestFleet, datagrams).takeoverTicks() <= bound);
    assertTrue(MembershipTimings.of(largestFleet + 1, datagrams).takeoverTicks() > bound);
    assertEquals(GossipMessage.MAX_NODES_WITH_REACHABILITY,
        limit(model, List.of(), "a datagram tells whom a node hears").limit().value());
  }

  @Test
  void heapLimitIsWhereTheLineReachesTheHeap() throws Exception {
    CapacityModel model = Sample.withMeasurements();
    ScalingLimit limit = limit(model, List.of(), "the list fills the heap");
    double heap = model.inputs().value(Input.HEAP_BYTES);
    assertEquals(heap, Sample.INTERCEPT + Sample.SLOPE * limit.limit().value(), 1e-3);
    assertEquals(Confidence.EXTRAPOLATED, limit.limit().confidence());
  }

  @Test
  void limitIsZeroIfTheSmallestSizeExceedsIt() throws Exception {
    CapacityModel lateModel = CapacityModel.of(Sample.inputs(), List.of(
        Sample.measurement("requests.late", 24, 3), Sample.measurement("requests.late", 240, 2)));
    String term = "the load tool's own lateness hides the added latency";
    Figure largestFleet = limit(lateModel, List.of(), term).limit();
    assertEquals(0, largestFleet.value());
    assertEquals(List.of("lateness_part", "requests.late p99_ms"), largestFleet.sources());
  }

  @Test
  void sumsAreBoundedByTheIntakeOfNodes() throws Exception {
    CapacityModel model = Sample.withMeasurements();
    String bytes = "sums told and taken in, at the most";
    assertEquals(1, growth(new EdgeNode(), bytes, LoadCondition.COUNTER_EMPTY, Input.EDGE_NODES),
        TOLERANCE);
    assertEquals(2,
        growth(new EdgeNode(), bytes, LoadCondition.COUNTER_EMPTY, Input.DATAGRAMS_PER_SECOND),
        TOLERANCE);
    assertEquals(2 * 0.5 * 60,
        row(new EdgeNode(), model, bytes, LoadCondition.COUNTER_EMPTY).figure().value(), TOLERANCE);
    String round = "a round of sums, if all nodes share customers";
    assertEquals(2700 / (0.5 * 60),
        row(new EdgeNode(), model, round, LoadCondition.COUNTER_EMPTY).figure().value(), TOLERANCE);
  }

  private static Measurement relayRun(String what, long nodes, int entries, double value) {
    Measurement values = Sample.measurement(what, nodes, value);
    return new Measurement(what, "hollow nodes before " + entries + " app servers", nodes, 1,
        values.values(), "0000000");
  }

  @Test
  void relayFigureComesFromTheLargestRelevantRun() throws Exception {
    CapacityModel model = CapacityModel.of(Sample.inputs(),
        List.of(relayRun("relay.change", 2700, 3500, 5000),
            relayRun("relay.change", 330, 34_000, 70), relayRun("relay.start300", 2700, 3500, 9),
            relayRun("relay.start300", 330, 34_000, 80)));
    Role control = new ControlMachines();
    Figure changes = row(control, model, "a change until in force, everywhere", LoadCondition.PEAK)
        .figure();
    assertEquals(5000, changes.value());
    assertEquals(Confidence.EXTRAPOLATED, changes.confidence());
    assertEquals(List.of("relay.change max_ms (2,700 nodes, 3,500 app servers)"),
        changes.sources());
    assertEquals(80, row(control, model, "a start until the last of these nodes has the list",
        LoadCondition.ZONE_STARTS).figure().value());
    CapacityModel irrelevantRuns = CapacityModel.of(Sample.inputs(), List
        .of(relayRun("relay.start300", 2700, 3500, 9), relayRun("relay.change", 330, 34_000, 7)));
    assertFalse(
        row(control, irrelevantRuns, "a change until in force, everywhere", LoadCondition.PEAK)
            .figure().known());
    assertFalse(row(control, irrelevantRuns, "a start until the last of these nodes has the list",
        LoadCondition.ZONE_STARTS).figure().known());
    CapacityModel runAtTarget = CapacityModel.of(Sample.inputs(),
        List.of(relayRun("relay.change", 2700, 34_000, 70)));
    assertEquals(Confidence.MEASURED,
        row(control, runAtTarget, "a change until in force, everywhere", LoadCondition.PEAK)
            .figure().confidence());
  }

  @Test
  void plansLimitIsTheSmallestMeasuredEnd() throws Exception {
    CapacityModel model = CapacityModel.of(Sample.inputs(),
        List.of(Sample.measurement("plans.ends", 30_000, 30_000),
            Sample.measurement("plans.ends", 29_000, 29_000)));
    ScalingLimit limit = limit(model, List.of(), "plans in the settings fill the heap");
    assertEquals(new Figure(29_000, 0, Confidence.MEASURED, List.of("plans.ends count")),
        limit.limit());
  }

  @Test
  void quotaLimitIsTheLargestFleetBelowTheSmallestFailingOne() throws Exception {
    CapacityModel model = Sample.withoutMeasurements();
    String term = "units beyond quotas on a calm day, on the bench";
    List<BenchDay> days = List.of(benchDay(6, 0.02), benchDay(20, 0.01), benchDay(100, 0.07),
        benchDay(60, 0.04), benchDay(120, 0.02));
    assertEquals(20, limit(model, days, term).limit().value());
    assertFalse(limit(model, List.of(), term).limit().known());
    assertEquals(0, limit(model, List.of(benchDay(6, 0.5)), term).limit().value());
  }

  private static BenchDay benchDay(int nodes, double overQuota) {
    return new BenchDay("site", "calm", nodes, 1L, "0000000", overQuota, 0, 0, "test");
  }
}
