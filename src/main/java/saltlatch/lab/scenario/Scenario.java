package saltlatch.lab.scenario;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A laboratory scenario, read from TOML (docs/lab.md gives the format). Times are seconds
 * ({@code _s}) or milliseconds ({@code _ms}) as the name says; rates are a second. Unknown keys are
 * an error, so a misspelt fault does not pass quietly.
 *
 * @param name what the run is called in its report
 * @param seed the one seed of every chance in the run: offered schedule, latencies, losses
 * @param seconds how long the load is offered
 * @param nodes edge nodes started by {@code lab}
 */
public record Scenario(String name, long seed, double seconds, int nodes, Servers servers,
    Counter counter, Discovery discovery, Peers peers, Load load, Plan plan, Plan oldPlan,
    LoadBalancer front, Processes processes, Links links, Bounds bounds, RandomFaults drawn) {

  /**
   * Faults drawn from the seed: nodes killed and stopped from {@code at_s} on, then splits
   * (lab.plan.Drawn).
   */
  public record RandomFaults(int kills, int pauses, int splits, double atS) {}

  /**
   * Stated bounds that a run is checked against: units beyond its quota for any customer; 0: not
   * checked.
   */
  public record Bounds(double beyondUnits) {}

  /**
   * A stand-in for the operators' front, which notices {@code notice_s} late that a node has died
   * or hangs; 0: none.
   */
  public record LoadBalancer(double noticeS) {}

  /** Faults on the nodes' processes; child processes only. */
  public record Processes(List<ProcessFault> faults) {}

  /** Faults on what links processes, stand-ins and clients. */
  public record Links(List<LinkFault> faults) {}

  /**
   * {@code kill} (SIGKILL), {@code term} (SIGTERM) or {@code pause} (SIGSTOP, SIGCONT after
   * {@code for_s}) of the group {@code nodes}, all at one instant or {@code step_s} apart
   * (rolling). {@code restart}: started again under the same name {@code back_s} after that, with
   * {@code old_plan} where {@code old_config} says so.
   */
  public record ProcessFault(String kind, double atS, double forS, String nodes, double stepS,
      boolean restart, double backS, boolean oldConfig) {}

  /**
   * {@code cut}, {@code loss} ({@code share}), {@code delay} ({@code extra_ms}), {@code duplicate}
   * and {@code reorder} ({@code share}, {@code extra_ms}; datagrams), {@code flap} (dead for the
   * first half of each {@code period_ms}), between two groups, both ways unless {@code one_way}.
   */
  public record LinkFault(String kind, double atS, double forS, String from, String to,
      boolean oneWay, double share, double extraMs, double periodMs) {
    public boolean holds(double ms) {
      return within(atS, forS, ms);
    }
  }

  /** Whether a fault of that beginning and length (0 or less: to the end) holds at {@code ms}. */
  private static boolean within(double atS, double forS, double ms) {
    return ms >= atS * 1000 && (forS <= 0 || ms < (atS + forS) * 1000);
  }

  /** The same with another number of nodes. */
  public Scenario withNodes(int n) {
    return new Scenario(name, seed, seconds, n, servers, counter, discovery, peers, load, plan,
        oldPlan, front, processes, links, bounds, drawn);
  }

  /** The same with other faults on processes and links. */
  public Scenario withFaults(List<ProcessFault> onProcesses, List<LinkFault> onLinks) {
    return new Scenario(name, seed, seconds, nodes, servers, counter, discovery, peers, load, plan,
        oldPlan, front, new Processes(List.copyOf(onProcesses)), new Links(List.copyOf(onLinks)),
        bounds, null);
  }

  /** The same with another seed. */
  public Scenario withSeed(long other) {
    return new Scenario(name, other, seconds, nodes, servers, counter, discovery, peers, load, plan,
        oldPlan, front, processes, links, bounds, drawn);
  }

  /** The app servers: {@code count} of them, latency lognormal by median and 99th percentile. */
  public record Servers(int count, double medianMs, double p99Ms, int concurrency,
      double idleCloseMs, List<Fault> faults) {}

  /**
   * The counter: its own latency, the calls a second that it serves in turn (0: all), the calls
   * that may wait for that (more are turned away), and faults ({@code silent}, {@code slow},
   * {@code refuse}, {@code empty}, {@code split}).
   */
  public record Counter(double latencyMs, double callsPerSecond, int line, List<Fault> faults) {}

  /**
   * Discovery: faults {@code late} (changes held back by {@code extra_ms}) and {@code stale} (the
   * old list served).
   */
  public record Discovery(List<Fault> faults) {}

  /**
   * Peer datagrams through the emulator's relay: share lost, extra delay up to {@code reorder_ms};
   * {@code intake} a second that a node says it takes in (0: nodes tell each other nothing);
   * {@code membership}: the nodes know each other.
   */
  public record Peers(double loss, double reorderMs, double intake, boolean membership) {}

  /**
   * The offered load: {@code rate} reqs a second in all, Poisson, over {@code customers} with Zipf
   * skew {@code zipf}; {@code submit_share} are non-replayable; {@code give_up_share} of clients
   * leave at a {@code give_up_at} share of their client timeout; {@code eager_share} come back at
   * once after a denial, up to {@code eager_tries} times.
   */
  public record Load(double rate, int customers, double zipf, double submitShare, int unitsMin,
      int unitsMax, double deadlineMs, double giveUpShare, double giveUpAt, double eagerShare,
      int eagerTries, int connectionsPerNode, List<Burst> bursts) {}

  /** From {@code at_s} for {@code for_s} the offered rate is {@code factor} times the base. */
  public record Burst(double atS, double forS, double factor) {}

  /**
   * Every customer's plan: {@code rate} units a second refilled, {@code burst} units at most; the
   * frontends' times.
   */
  public record Plan(double rate, double burst, double aimMs, double deadlineMs) {}

  /**
   * One fault on a schedule. {@code first}/{@code count} pick app servers (count 0: all);
   * {@code extra_ms} is added latency; {@code idle_ms} the idle time after which connections close;
   * {@code ramp_s} a cold start's warm-up; {@code from} the share of capacity a cold server starts
   * with; {@code groups} the nodes' split ({@code split}).
   */
  public record Fault(String kind, double atS, double forS, int first, int count, double extraMs,
      double idleMs, double rampS, double from, int groups) {
    /** True while the fault holds at {@code ms} since the start. */
    public boolean holds(double ms) {
      return within(atS, forS, ms);
    }

    /** True while any of the {@code faults} of this kind holds at {@code ms} since the start. */
    public static boolean anyHolds(List<Fault> faults, String kind, double ms) {
      for (Fault f : faults) if (f.kind.equals(kind) && f.holds(ms)) return true;
      return false;
    }

    /** True if it touches app server {@code index}. */
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
   * Reads a file; throws {@link IOException} with the line at fault, or
   * {@link IllegalArgumentException} if out of range.
   */
  public static Scenario read(Path path) throws IOException {
    return parse(Files.readString(path));
  }

  /** Reads TOML text; defaults fill what is left out. */
  public static Scenario parse(String toml) throws IOException {
    return TOML.readValue(toml, Scenario.class).withDefaults();
  }

  /** The scenario as JSON, kept in the run file. */
  public String json() {
    try {
      return JSON.writeValueAsString(this);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private Scenario withDefaults() {
    Servers s = servers == null ? new Servers(4, 5, 30, 64, 0, List.of()) : servers;
    s = new Servers(pos(s.count, 4), s.medianMs > 0 ? s.medianMs : 5,
        s.p99Ms > 0 ? s.p99Ms : 6 * Math.max(1, s.medianMs), pos(s.concurrency, 64), s.idleCloseMs,
        faults(s.faults));
    Counter c = counter == null ? new Counter(0.2, 0, 0, List.of()) : new Counter(counter.latencyMs,
        counter.callsPerSecond, pos(counter.line, 32), faults(counter.faults));
    Discovery d = new Discovery(discovery == null ? List.of() : faults(discovery.faults));
    Peers p = peers == null ? new Peers(0, 0, 0, false) : peers;
    Load l = load == null ? new Load(100, 20, 1.0, 0.2, 1, 1, 3000, 0, 0.5, 0, 0, 64, List.of())
        : load;
    l = new Load(l.rate > 0 ? l.rate : 100, pos(l.customers, 20), l.zipf, l.submitShare,
        pos(l.unitsMin, 1), Math.max(pos(l.unitsMin, 1), l.unitsMax),
        l.deadlineMs > 0 ? l.deadlineMs : 3000, l.giveUpShare, l.giveUpAt > 0 ? l.giveUpAt : 0.5,
        l.eagerShare, l.eagerTries, pos(l.connectionsPerNode, 64),
        l.bursts == null ? List.of() : List.copyOf(l.bursts));
    Plan q = plan == null ? new Plan(20, 100, 1000, 3000) : plan;
    Scenario out = new Scenario(name == null ? "unnamed" : name, seed, seconds > 0 ? seconds : 20,
        pos(nodes, 1), s, c, d, p, l, q, oldPlan == null ? q : oldPlan,
        front == null ? new LoadBalancer(0) : front,
        new Processes(processes == null || processes.faults == null ? List.of()
            : List.copyOf(processes.faults)),
        new Links(links == null || links.faults == null ? List.of() : List.copyOf(links.faults)),
        bounds == null ? new Bounds(0) : bounds, drawn);
    out.check();
    return out;
  }

  private void check() {
    must(nodes <= 64, "nodes: at most 64");
    must(servers.count <= 256, "servers.count: at most 256");
    must(load.rate <= 50_000, "load.rate: at most 50000 a second");
    must(load.submitShare >= 0 && load.submitShare <= 1, "load.submit_share: a share from 0 to 1");
    must(!peers.membership || peers.intake > 0, "peers.membership wants peers.intake above 0");
    must(peers.loss >= 0 && peers.loss <= 1, "peers.loss: a share from 0 to 1");
    for (ProcessFault f : processes.faults) {
      must(List.of("kill", "term", "pause").contains(f.kind),
          "processes.faults: kind not known: " + f.kind);
      must(f.nodes != null && !Group.of(f.nodes).nodes(nodes).isEmpty(),
          "processes.faults: no such nodes: " + f.nodes);
    }
    for (LinkFault f : links.faults) {
      must(List.of("cut", "loss", "delay", "duplicate", "reorder", "flap").contains(f.kind),
          "links.faults: kind not known: " + f.kind);
      must(f.from != null && f.to != null, "links.faults: from and to");
      Group.of(f.from);
      Group.of(f.to);
      must(!f.kind.equals("flap") || f.periodMs > 0, "links.faults: flap wants period_ms");
    }
    must(plan.rate > 0 && plan.burst > 0, "plan: rate and burst above 0");
    for (List<Fault> fs : List.of(servers.faults, counter.faults, discovery.faults)) {
      for (Fault f : fs) must(KINDS.contains(f.kind), "fault kind not known: " + f.kind);
    }
  }

  /** Every kind of fault that the emulator plays. */
  public static final List<String> KINDS = List.of("slow", "pause", "fail_fast", "spoil",
      "idle_close", "cold_start", "refuse", "silent", "empty", "split", "late", "stale");

  private static List<Fault> faults(List<Fault> list) {
    return list == null ? List.of() : List.copyOf(list);
  }

  private static int pos(int v, int otherwise) {
    return v > 0 ? v : otherwise;
  }

  private static void must(boolean ok, String what) {
    if (!ok) throw new IllegalArgumentException("scenario: " + what);
  }
}
