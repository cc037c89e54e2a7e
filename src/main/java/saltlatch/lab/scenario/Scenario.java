package saltlatch.lab.scenario;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import saltlatch.wire.Excerpt;

/**
 * A laboratory scenario, read from TOML (docs/lab.md describes the format). Times are in seconds
 * ({@code _s}) or milliseconds ({@code _ms}) as the suffix of the key says; rates are per second.
 * Unknown keys are an error, so that a misspelt key is reported and not ignored.
 *
 * @param name the name of the run in its report
 * @param seed the only seed of the run, from which the offered schedule, the latencies and the
 *     losses are drawn
 * @param seconds how long load is offered
 * @param nodes the number of edge nodes started by {@code lab}
 */
public record Scenario(String name, long seed, double seconds, int nodes, Servers servers,
    Counter counter, Discovery discovery, Peers peers, Load load, Plan plan, Plan oldPlan,
    LoadBalancer front, Processes processes, Links links, Bounds bounds, RandomFaults drawn) {

  /**
   * The number of faults to draw from the seed: from {@code at_s} on, nodes are killed and stopped,
   * then the network is partitioned ({@code splits} times). {@code saltlatch.lab.plan.RandomFaults}
   * draws them.
   */
  public record RandomFaults(int kills, int pauses, int splits, double atS) {}

  /**
   * The bounds that a run is checked against: {@code beyond_units} is the largest number of units
   * that any customer may be charged beyond its quota, 0 for no check.
   */
  public record Bounds(double beyondUnits) {}

  /**
   * The emulated load balancer in front of the nodes. It detects that a node died or hangs after
   * {@code notice_s}; 0 for no load balancer.
   */
  public record LoadBalancer(double noticeS) {}

  /** Faults of the nodes' processes; the nodes must run as child processes. */
  public record Processes(List<ProcessFault> faults) {}

  /** Faults of the network links between nodes, emulated systems and clients. */
  public record Links(List<LinkFault> faults) {}

  /**
   * A fault of the processes of the group {@code nodes}: {@code kill} (SIGKILL), {@code term}
   * (SIGTERM) or {@code pause} (SIGSTOP, then SIGCONT after {@code for_s}). It affects all nodes at
   * once, or one after another with {@code step_s} between them. If {@code restart} is set, each
   * node is started again under the same name {@code back_s} after its fault, with the quota plan
   * {@code old_plan} if {@code old_config} is set.
   */
  public record ProcessFault(String kind, double atS, double forS, String nodes, double stepS,
      boolean restart, double backS, boolean oldConfig) {}

  /**
   * A fault of the links between two groups, in both directions unless {@code one_way} is set:
   * {@code cut}, {@code loss} ({@code share}), {@code delay} ({@code extra_ms}), {@code duplicate}
   * and {@code reorder} ({@code share}, {@code extra_ms}; datagrams only), or {@code flap} (cut for
   * the first half of each {@code period_ms}).
   */
  public record LinkFault(String kind, double atS, double forS, String from, String to,
      boolean oneWay, double share, double extraMs, double periodMs) {
    /** Returns whether the fault is active at {@code ms} since the start. */
    public boolean holds(double ms) {
      return within(atS, forS, ms);
    }
  }

  /**
   * Returns whether {@code ms} is within {@code forS} seconds from {@code atS} on. If {@code forS}
   * is 0 or less, the interval has no end.
   */
  private static boolean within(double atS, double forS, double ms) {
    return ms >= atS * 1000 && (forS <= 0 || ms < (atS + forS) * 1000);
  }

  /** Returns a copy with {@code nodeCount} nodes. */
  public Scenario withNodes(int nodeCount) {
    return new Scenario(name, seed, seconds, nodeCount, servers, counter, discovery, peers, load,
        plan, oldPlan, front, processes, links, bounds, drawn);
  }

  /** Returns a copy that has only these faults of processes and links, and no drawn faults. */
  public Scenario withFaults(List<ProcessFault> processFaults, List<LinkFault> linkFaults) {
    return new Scenario(name, seed, seconds, nodes, servers, counter, discovery, peers, load, plan,
        oldPlan, front, new Processes(List.copyOf(processFaults)),
        new Links(List.copyOf(linkFaults)), bounds, null);
  }

  /** Returns a copy with the seed {@code newSeed}. */
  public Scenario withSeed(long newSeed) {
    return new Scenario(name, newSeed, seconds, nodes, servers, counter, discovery, peers, load,
        plan, oldPlan, front, processes, links, bounds, drawn);
  }

  /**
   * The {@code count} app servers. Their latency has a lognormal distribution with the given median
   * and 99th percentile.
   */
  public record Servers(int count, double medianMs, double p99Ms, int concurrency,
      double idleCloseMs, List<Fault> faults) {}

  /**
   * The counter: its latency, the calls per second that it serves one after another (0 for no
   * limit), the number of calls that may wait in the queue ({@code line}; further calls are
   * rejected), and its faults ({@code silent}, {@code slow}, {@code refuse}, {@code empty},
   * {@code split}).
   */
  public record Counter(double latencyMs, double callsPerSecond, int line, List<Fault> faults) {}

  /**
   * Discovery and its faults: {@code late} (changes are published {@code extra_ms} late) and
   * {@code stale} (the old endpoint list is served).
   */
  public record Discovery(List<Fault> faults) {}

  /**
   * The datagrams between nodes, which pass through the emulator's relay: {@code loss} is the share
   * lost, {@code reorder_ms} the upper bound of a random extra delay, {@code intake} the datagrams
   * per second that a node's settings allow it to receive from its peers (0 disables gossip), and
   * {@code membership} enables membership among the nodes.
   */
  public record Peers(double loss, double reorderMs, double intake, boolean membership) {}

  /**
   * The offered load: Poisson arrivals of {@code rate} requests per second in total, over
   * {@code customers} with Zipf skew {@code zipf}. The share {@code submit_share} of requests is
   * non-retriable. The share {@code give_up_share} of clients closes its connection after the
   * share {@code give_up_at} of its client timeout. The share {@code eager_share} retries
   * immediately after a rejection, up to {@code eager_tries} times.
   */
  public record Load(double rate, int customers, double zipf, double submitShare, int unitsMin,
      int unitsMax, double deadlineMs, double giveUpShare, double giveUpAt, double eagerShare,
      int eagerTries, int connectionsPerNode, List<Burst> bursts) {}

  /** Multiplies the offered rate by {@code factor} for {@code for_s} from {@code at_s} on. */
  public record Burst(double atS, double forS, double factor) {}

  /**
   * The quota plan of every customer: {@code rate} units are refilled per second, up to
   * {@code burst} units. {@code aim_ms} and {@code deadline_ms} are the target latency and the
   * deadline of the request classes.
   */
  public record Plan(double rate, double burst, double aimMs, double deadlineMs) {}

  /**
   * One scheduled fault of the app servers, the counter or discovery. {@code first} and
   * {@code count} select app servers (count 0 selects all); {@code extra_ms} is added latency;
   * {@code idle_ms} is the idle time after which connections are closed; {@code ramp_s} is the
   * warm-up time of a cold start and {@code from} the share of capacity at its beginning;
   * {@code groups} is the number of groups into which a {@code split} divides the nodes.
   */
  public record Fault(String kind, double atS, double forS, int first, int count, double extraMs,
      double idleMs, double rampS, double from, int groups) {
    /** Returns whether the fault is active at {@code ms} since the start. */
    public boolean holds(double ms) {
      return within(atS, forS, ms);
    }

    /** Returns whether any of the faults of this kind is active at {@code ms} since the start. */
    public static boolean anyHolds(List<Fault> faults, String kind, double ms) {
      for (Fault fault : faults) if (fault.kind.equals(kind) && fault.holds(ms)) return true;
      return false;
    }

    /** Returns whether the fault affects app server {@code index}. */
    public boolean touches(int index) {
      return count <= 0 || (index >= first && index < first + count);
    }
  }

  private static final TomlMapper TOML = TomlMapper.builder()
      .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
      .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
  private static final JsonMapper JSON = JsonMapper.builder()
      .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();

  /**
   * Reads a scenario file. Throws {@link IOException} with the line number if the file is not valid
   * TOML or has an unknown key, and {@link IllegalArgumentException} if a value is out of range.
   */
  public static Scenario read(Path path) throws IOException {
    return parse(Files.readString(path));
  }

  /** Reads a scenario from TOML text; keys that are missing get their default values. */
  public static Scenario parse(String toml) throws IOException {
    return TOML.readValue(toml, Scenario.class).withDefaults();
  }

  /** Returns the scenario as JSON, as stored in the run file. */
  public String json() {
    try {
      return JSON.writeValueAsString(this);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private Scenario withDefaults() {
    Servers givenServers = servers == null ? new Servers(4, 5, 30, 64, 0, List.of()) : servers;
    Servers newServers = new Servers(positiveOr(givenServers.count, 4),
        givenServers.medianMs > 0 ? givenServers.medianMs : 5,
        givenServers.p99Ms > 0 ? givenServers.p99Ms : 6 * Math.max(1, givenServers.medianMs),
        positiveOr(givenServers.concurrency, 64), givenServers.idleCloseMs,
        copyOf(givenServers.faults));
    Counter newCounter = counter == null ? new Counter(0.2, 0, 0, List.of())
        : new Counter(counter.latencyMs, counter.callsPerSecond, positiveOr(counter.line, 32),
            copyOf(counter.faults));
    Discovery newDiscovery = new Discovery(
        discovery == null ? List.of() : copyOf(discovery.faults));
    Peers newPeers = peers == null ? new Peers(0, 0, 0, false) : peers;
    Load givenLoad = load == null
        ? new Load(100, 20, 1.0, 0.2, 1, 1, 3000, 0, 0.5, 0, 0, 64, List.of()) : load;
    Load newLoad = new Load(givenLoad.rate > 0 ? givenLoad.rate : 100,
        positiveOr(givenLoad.customers, 20), givenLoad.zipf, givenLoad.submitShare,
        positiveOr(givenLoad.unitsMin, 1),
        Math.max(positiveOr(givenLoad.unitsMin, 1), givenLoad.unitsMax),
        givenLoad.deadlineMs > 0 ? givenLoad.deadlineMs : 3000, givenLoad.giveUpShare,
        givenLoad.giveUpAt > 0 ? givenLoad.giveUpAt : 0.5, givenLoad.eagerShare,
        givenLoad.eagerTries, positiveOr(givenLoad.connectionsPerNode, 64),
        givenLoad.bursts == null ? List.of() : List.copyOf(givenLoad.bursts));
    Plan newPlan = plan == null ? new Plan(20, 100, 1000, 3000) : plan;
    Scenario complete = new Scenario(name == null ? "unnamed" : name, seed,
        seconds > 0 ? seconds : 20, positiveOr(nodes, 1), newServers, newCounter, newDiscovery,
        newPeers, newLoad, newPlan, oldPlan == null ? newPlan : oldPlan,
        front == null ? new LoadBalancer(0) : front,
        new Processes(processes == null || processes.faults == null ? List.of()
            : List.copyOf(processes.faults)),
        new Links(links == null || links.faults == null ? List.of() : List.copyOf(links.faults)),
        bounds == null ? new Bounds(0) : bounds, drawn);
    complete.check();
    return complete;
  }

  private void check() {
    require(nodes <= MAX_NODES, "nodes must be at most " + MAX_NODES + ", found " + nodes);
    require(servers.count <= MAX_SERVERS,
        "servers.count must be at most " + MAX_SERVERS + ", found " + servers.count);
    require(load.rate <= MAX_RATE,
        "load.rate must be at most " + MAX_RATE + " requests per second, found " + load.rate);
    require(load.submitShare >= 0 && load.submitShare <= 1,
        "load.submit_share must be from 0 to 1, found " + load.submitShare);
    require(!peers.membership || peers.intake > 0,
        "peers.intake must be above 0 if peers.membership is true, found " + peers.intake);
    require(peers.loss >= 0 && peers.loss <= 1,
        "peers.loss must be from 0 to 1, found " + peers.loss);
    for (ProcessFault fault : processes.faults) {
      require(PROCESS_FAULT_KINDS.contains(fault.kind), "the kind of processes.faults must be one"
          + " of " + PROCESS_FAULT_KINDS + ", found " + quote(fault.kind));
      require(fault.nodes != null && !Group.of(fault.nodes).nodes(nodes).isEmpty(),
          "the nodes of processes.faults must name at least one of the " + nodes + " nodes, found "
              + quote(fault.nodes));
    }
    for (LinkFault fault : links.faults) {
      require(LINK_FAULT_KINDS.contains(fault.kind), "the kind of links.faults must be one of "
          + LINK_FAULT_KINDS + ", found " + quote(fault.kind));
      require(fault.from != null && fault.to != null,
          "links.faults must have both from and to, found from " + quote(fault.from) + " and to "
              + quote(fault.to));
      Group.of(fault.from);
      Group.of(fault.to);
      require(!fault.kind.equals("flap") || fault.periodMs > 0,
          "the period_ms of a flap in links.faults must be above 0, found " + fault.periodMs);
    }
    require(plan.rate > 0 && plan.burst > 0, "plan.rate and plan.burst must be above 0, found rate "
        + plan.rate + " and burst " + plan.burst);
    for (List<Fault> faults : List.of(servers.faults, counter.faults, discovery.faults)) {
      for (Fault fault : faults) {
        require(KINDS.contains(fault.kind),
            "the kind of a fault must be one of " + KINDS + ", found " + quote(fault.kind));
      }
    }
  }

  /** The kinds of faults that the emulator supports. */
  public static final List<String> KINDS = List.of("slow", "pause", "fail_fast", "spoil",
      "idle_close", "cold_start", "refuse", "silent", "empty", "split", "late", "stale");
  private static final List<String> PROCESS_FAULT_KINDS = List.of("kill", "term", "pause");
  private static final List<String> LINK_FAULT_KINDS = List.of("cut", "loss", "delay", "duplicate",
      "reorder", "flap");
  private static final int MAX_NODES = 64;
  private static final int MAX_SERVERS = 256;
  private static final int MAX_RATE = 50_000; // requests per second
  // Limits the part of a scenario's text that an error message repeats.

  private static List<Fault> copyOf(List<Fault> faults) {
    return faults == null ? List.of() : List.copyOf(faults);
  }

  private static int positiveOr(int value, int defaultValue) {
    return value > 0 ? value : defaultValue;
  }

  /** Returns a value of the scenario for an error message, limited in length. */
  static String quote(String value) {
    return value == null ? "none" : Excerpt.quoted(value);
  }

  private static void require(boolean valid, String message) {
    if (!valid) throw new IllegalArgumentException("scenario: " + message);
  }
}
