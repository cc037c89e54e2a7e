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
 * The roles' formulas and the walls: what doubles when an input doubles, what is said where nothing
 * was measured.
 */
class RolesTest {
  private static final double CLOSE = 1e-9;

  private static Row row(Role role, CapacityModel model, String what, LoadCondition condition) {
    return role.rows(model).stream()
        .filter(row -> row.what().equals(what) && row.condition() == condition).findFirst()
        .orElseThrow();
  }

  /** How much a figure grows when an input doubles. */
  private static double growth(CapacityModel model, Role role, String what, LoadCondition condition,
      Input doubled) {
    CapacityModel more = model.with(doubled, 2 * model.inputs().value(doubled));
    Figure before = row(role, model, what, condition).figure();
    return row(role, more, what, condition).figure().value() / before.value();
  }

  private static double growth(Role role, String what, LoadCondition condition, Input doubled)
      throws Exception {
    return growth(Sample.whole(), role, what, condition, doubled);
  }

  @Test
  void whatANodeServesIsSharedOutOverTheNodes() throws Exception {
    Role node = new EdgeNode();
    String calls = "calls to the counter, by the assumptions alone";
    assertEquals(0.5, growth(node, calls, LoadCondition.PEAK, Input.EDGE_NODES), CLOSE);
    assertEquals(2, growth(node, calls, LoadCondition.PEAK, Input.REQUESTS_PER_SECOND), CLOSE);
    assertEquals(2, growth(node, calls, LoadCondition.ORDINARY, Input.DAY_MEAN_OVER_PEAK), CLOSE);
    assertEquals(2,
        growth(node, "list of app servers, heap", LoadCondition.ORDINARY, Input.APP_SERVERS),
        CLOSE);
    assertEquals(2, growth(node, "plans of tenants, heap", LoadCondition.ORDINARY, Input.TENANTS),
        CLOSE);
  }

  @Test
  void whatAllNodesAskOfTheCounterIsThatOfTheRequests() throws Exception {
    Role counter = new CounterService();
    CapacityModel assumed = Sample.withoutMeasurements();
    assertEquals(2 * 650_000, row(counter, assumed, "calls", LoadCondition.PEAK).figure().value(),
        1e-3);
    assertEquals(1, growth(assumed, counter, "calls", LoadCondition.PEAK, Input.EDGE_NODES), CLOSE);
    assertEquals(2,
        growth(assumed, counter, "calls", LoadCondition.PEAK, Input.REQUESTS_PER_SECOND), CLOSE);
    double perNode = Sample.AT_ZERO + Sample.SLOPE * 650_000 / 2700;
    assertEquals(2700 * perNode,
        row(counter, Sample.whole(), "calls", LoadCondition.PEAK).figure().value(), 1e-3);
    assertEquals(0.5, growth(counter, "processes that the calls want", LoadCondition.PEAK,
        Input.COUNTER_CALLS_PER_PROCESS), CLOSE);
  }

  @Test
  void watchersAndTheirMessagesGrowWithTheNodes() throws Exception {
    Role control = new ControlMachines();
    assertEquals(2,
        growth(control, "watchers of a relay", LoadCondition.ORDINARY, Input.EDGE_NODES), CLOSE);
    // fewer restarts are app servers'
    double changes = growth(new EdgeNode(), "changes", LoadCondition.PEAK, Input.EDGE_NODES);
    assertEquals(2 * changes,
        growth(control, "messages to watchers", LoadCondition.PEAK, Input.EDGE_NODES), CLOSE);
    assertEquals(2, growth(control, "whole lists sent by a relay", LoadCondition.ZONE_STARTS,
        Input.ZONE_STARTS), CLOSE);
    CapacityModel model = Sample.whole();
    double lost = row(control, model, "watchers of each relay left", LoadCondition.MACHINE_LOST)
        .figure().value();
    assertEquals(model.inputs().value(Input.EDGE_NODES) / 4, lost, CLOSE);
  }

  @Test
  void whatConnectionsWantDependsOnPairsAndRequests() throws Exception {
    Role server = new AppServer();
    assertEquals(2, growth(server, "nodes that send to it, subsets", LoadCondition.PEAK,
        Input.SERVERS_KEPT_PER_SERVICE), CLOSE);
    assertEquals(0.5,
        growth(server, "nodes that send to it, subsets", LoadCondition.PEAK, Input.APP_SERVERS),
        CLOSE);
    Row all = row(server, Sample.whole(), "a request of one of these nodes, each",
        LoadCondition.PEAK);
    assertEquals(2700 / (650_000 / 34_000.0), all.figure().value(), CLOSE);
  }

  @Test
  void aMinuteOfChangesIsThatOfTheLetterAndOfRestarts() throws Exception {
    Rates rates = new Rates(Sample.whole());
    double restarts = 1900 * (34_000 / 36_700.0) * 3;
    assertEquals((8200 + restarts) / 86_400, rates.changes().value(), CLOSE);
    assertEquals(2 + restarts / 86_400, rates.peakChanges().value(), CLOSE);
  }

  @Test
  void whatWasNotMeasuredIsMissingAndNeverANumber() throws Exception {
    CapacityModel nothing = Sample.withoutMeasurements();
    assertFalse(
        row(new EdgeNode(), nothing, "process with list and plans, resident, at its highest",
            LoadCondition.ORDINARY).figure().known());
    CapacityData data = new CapacityData(nothing.inputs(), List.of(), List.of(), List.of());
    for (Table table : CapacityTables.of(data))
      assertFalse(table.markdown().contains("NaN"), table.name());
    for (Role role : Role.all()) {
      for (Row row : role.rows(nothing)) {
        boolean measures = row.figure().sources().stream().anyMatch(RolesTest::isTest);
        assertEquals(measures, measures && !row.figure().known(), row.toString());
      }
    }
  }

  private static boolean isTest(String source) {
    for (Series test : Series.values()) if (source.startsWith(test.id() + " ")) return true;
    return false;
  }

  @Test
  void whatIsMeasuredAtTheTargetStandsFirmerThanWhatIsNot() throws Exception {
    CapacityModel model = Sample.whole();
    assertEquals(Confidence.MEASURED,
        model.at(Series.MEMBERS_REST, Quantity.CPU_MS, Input.EDGE_NODES).confidence());
    assertEquals(Confidence.EXTRAPOLATED,
        model.at(Series.LIST_REST, Quantity.CPU_MS, Input.APP_SERVERS).confidence());
    assertEquals(Confidence.ASSUMED,
        model.at(Series.LIST_REST, Quantity.CPU_MS, Input.ZONE_STARTS).confidence());
  }

  @Test
  void wallsAscendAndWhatIsMissingStandsLast() throws Exception {
    for (CapacityModel model : List.of(Sample.whole(), Sample.withoutMeasurements())) {
      List<ScalingLimit> walls = ScalingLimits.of(model, List.of());
      List<Double> known = new ArrayList<>();
      for (ScalingLimit wall : walls)
        if (wall.fractionOfTarget().known()) known.add(wall.fractionOfTarget().value());
      assertEquals(known.stream().sorted().toList(), known);
      for (int i = 0; i < walls.size(); i++)
        assertEquals(i < known.size(), walls.get(i).fractionOfTarget().known());
    }
  }

  @Test
  void whatStopsNodesIsNeededBeforeWhatCosts() throws Exception {
    List<Measurement> lists = List.of(Sample.one("list.start", 1, 100),
        Sample.one("list.start", 2, 200));
    CapacityData data = new CapacityData(Sample.inputs(), lists, List.of(), List.of());
    Table mechanisms = CapacityTables.of(data).stream()
        .filter(table -> table.name().equals("mechanisms")).findFirst().orElseThrow();
    assertEquals(Mechanism.BOUNDED_LIST.title(), mechanisms.rows().get(0).get(1));
    assertEquals(Mechanism.RUNNING_SETTINGS.title(), mechanisms.rows().get(1).get(1));
  }

  private static ScalingLimit wall(CapacityModel model, List<BenchDay> days, String term) {
    return ScalingLimits.of(model, days).stream().filter(wall -> wall.term().equals(term))
        .findFirst().orElseThrow();
  }

  @Test
  void membershipsWallsAreThoseOfItsOwnFormulas() throws Exception {
    CapacityModel model = Sample.withoutMeasurements();
    double datagrams = model.inputs().value(Input.DATAGRAMS_PER_SECOND);
    long bound = (long) (10_000 * model.inputs().value(Input.TAKEOVER_WITHIN_SECONDS));
    int holds = (int) wall(model, List.of(), "a dead node's share is in use again in time").limit()
        .value();
    assertTrue(MembershipTimings.of(holds, datagrams).takeoverTicks() <= bound);
    assertTrue(MembershipTimings.of(holds + 1, datagrams).takeoverTicks() > bound);
    assertEquals(GossipMessage.MAX_NODES_WITH_REACHABILITY,
        wall(model, List.of(), "a datagram tells whom a node hears").limit().value());
  }

  @Test
  void aHeapIsFullWhereItsLineReachesIt() throws Exception {
    CapacityModel model = Sample.whole();
    ScalingLimit wall = wall(model, List.of(), "the list fills the heap");
    double heap = model.inputs().value(Input.HEAP_BYTES);
    assertEquals(heap, Sample.AT_ZERO + Sample.SLOPE * wall.limit().value(), 1e-3);
    assertEquals(Confidence.EXTRAPOLATED, wall.limit().confidence());
  }

  @Test
  void whatIsTooMuchAtTheSmallestSizeHoldsNowhere() throws Exception {
    CapacityModel late = CapacityModel.of(Sample.inputs(),
        List.of(Sample.one("requests.late", 24, 3), Sample.one("requests.late", 240, 2)));
    String term = "the load tool's own lateness hides the added latency";
    Figure holds = wall(late, List.of(), term).limit();
    assertEquals(0, holds.value());
    assertEquals(List.of("lateness_part", "requests.late p99_ms"), holds.sources());
  }

  @Test
  void sumsAreBoundedByWhatNodesTakeIn() throws Exception {
    CapacityModel model = Sample.whole();
    String bytes = "sums told and taken in, at the most";
    assertEquals(1, growth(new EdgeNode(), bytes, LoadCondition.COUNTER_EMPTY, Input.EDGE_NODES),
        CLOSE);
    assertEquals(2,
        growth(new EdgeNode(), bytes, LoadCondition.COUNTER_EMPTY, Input.DATAGRAMS_PER_SECOND),
        CLOSE);
    assertEquals(2 * 0.5 * 60,
        row(new EdgeNode(), model, bytes, LoadCondition.COUNTER_EMPTY).figure().value(), CLOSE);
    String round = "a round of sums, if all nodes share customers";
    assertEquals(2700 / (0.5 * 60),
        row(new EdgeNode(), model, round, LoadCondition.COUNTER_EMPTY).figure().value(), CLOSE);
  }

  private static Measurement run(String what, long nodes, int entries, double value) {
    Measurement values = Sample.one(what, nodes, value);
    return new Measurement(what, "hollow nodes before " + entries + " app servers", nodes, 1,
        values.values(), "0000000");
  }

  @Test
  void aRelaysFigureComesFromTheRunThatIsLargestInWhatItDependsOn() throws Exception {
    CapacityModel model = CapacityModel.of(Sample.inputs(),
        List.of(run("relay.change", 2700, 3500, 5000), run("relay.change", 330, 34_000, 70),
            run("relay.start300", 2700, 3500, 9), run("relay.start300", 330, 34_000, 80)));
    Role control = new ControlMachines();
    Figure changes = row(control, model, "a change until in force, everywhere", LoadCondition.PEAK)
        .figure();
    assertEquals(5000, changes.value());
    assertEquals(Confidence.EXTRAPOLATED, changes.confidence());
    assertEquals(List.of("relay.change max_ms (2,700 nodes, 3,500 app servers)"),
        changes.sources());
    assertEquals(80, row(control, model, "a start until the last of these nodes has the list",
        LoadCondition.ZONE_STARTS).figure().value());
    CapacityModel small = CapacityModel.of(Sample.inputs(),
        List.of(run("relay.start300", 2700, 3500, 9), run("relay.change", 330, 34_000, 7)));
    assertFalse(row(control, small, "a change until in force, everywhere", LoadCondition.PEAK)
        .figure().known());
    assertFalse(row(control, small, "a start until the last of these nodes has the list",
        LoadCondition.ZONE_STARTS).figure().known());
    CapacityModel whole = CapacityModel.of(Sample.inputs(),
        List.of(run("relay.change", 2700, 34_000, 70)));
    assertEquals(Confidence.MEASURED,
        row(control, whole, "a change until in force, everywhere", LoadCondition.PEAK).figure()
            .confidence());
  }

  @Test
  void plansEndWhereTheSmallestMeasuredEndIs() throws Exception {
    CapacityModel model = CapacityModel.of(Sample.inputs(), List
        .of(Sample.one("plans.ends", 30_000, 30_000), Sample.one("plans.ends", 29_000, 29_000)));
    ScalingLimit wall = wall(model, List.of(), "plans in the settings fill the heap");
    assertEquals(new Figure(29_000, 0, Confidence.MEASURED, List.of("plans.ends count")),
        wall.limit());
  }

  @Test
  void quotasHoldUpToTheLargestFleetBelowTheFirstThatSlipped() throws Exception {
    CapacityModel model = Sample.withoutMeasurements();
    String term = "units beyond quotas on a calm day, on the bench";
    List<BenchDay> days = List.of(day(6, 0.02), day(20, 0.01), day(100, 0.07), day(60, 0.04),
        day(120, 0.02));
    assertEquals(20, wall(model, days, term).limit().value());
    assertFalse(wall(model, List.of(), term).limit().known());
    assertEquals(0, wall(model, List.of(day(6, 0.5)), term).limit().value());
  }

  private static BenchDay day(int nodes, double overQuota) {
    return new BenchDay("site", "calm", nodes, 1L, "0000000", overQuota, 0, 0, "test");
  }
}
