package saltlatch.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A node that follows one of several relays and holds the list; every list it ever holds is
 * compared with the true one.
 */
final class ModelWatcher implements ModelLink.Client {
  private static final long SILENT_MS = 4_500;
  private static final long LOOK_MS = 500;
  private static final Backoff BACKOFF = new Backoff(50, 1_000, 15_000);

  private final ModelFleet fleet;
  private final ModelFleet.Node node;
  private final List<ModelFleet.Node> relays;
  /** The whole list last got, shared by all who got that message, and what changed since. */
  private Map<String, Entry> base = Map.of();
  private final Map<String, Entry> changed = new HashMap<>();
  private Version version = Version.NONE;
  private long checksum;
  private ModelLink link;
  private int relay;
  private int failures;
  private long heardAt;

  ModelWatcher(ModelFleet fleet, ModelFleet.Node node, List<ModelFleet.Node> relays, int first) {
    this.fleet = fleet;
    this.node = node;
    this.relays = relays;
    relay = first;
    fleet.simulation.after(LOOK_MS, this::look);
  }

  Version version() {
    return version;
  }

  void start() {
    base = Map.of();
    changed.clear();
    version = Version.NONE;
    checksum = 0;
    connect();
  }

  void processKilled() {
    if (link != null) {
      link.breakOff();
      link = null;
    }
  }

  @Override
  public void opened(ModelLink from) {
    heardAt = fleet.simulation.now();
  }

  @Override
  public void messageReceived(ModelLink from, Message message) {
    if (from != link) {
      return;
    }
    heardAt = fleet.simulation.now();
    failures = 0;
    if (message.kind() != Message.Kind.KEEP_ALIVE) {
      apply(message);
    }
  }

  @Override
  public void ended(ModelLink from, boolean malformed) {
    if (from == link) {
      leave();
    }
  }

  private void apply(Message message) {
    fleet.check(message.version().compareTo(version) > 0,
        node + " is sent back from " + version + " to " + message.version());
    if (message.kind() == Message.Kind.SNAPSHOT) {
      ModelFleet.Snapshot whole = fleet.listOf(message);
      base = whole.entries();
      changed.clear();
      checksum = whole.checksum();
    } else {
      fleet.check(message.version().series() == version.series(),
          node + " is sent changes of another series");
      message.entries().forEach(this::put);
    }
    version = message.version();
    Long truth = fleet.source.checksum(version);
    fleet.check(truth != null && truth == checksum,
        node + " holds another list than the source at " + version);
    fleet.recordApplied(version, message.kind());
  }

  private void put(Entry entry) {
    Entry former = changed.containsKey(entry.name()) ? changed.get(entry.name())
        : base.get(entry.name());
    checksum -= former == null ? 0 : ModelSource.checksum(former);
    checksum += entry.removed() ? 0 : ModelSource.checksum(entry);
    changed.put(entry.name(), entry.removed() ? null : entry);
  }

  private void connect() {
    heardAt = fleet.simulation.now();
    link = fleet.open(node, relays.get(relay % relays.size()), version);
  }

  private void leave() {
    link = null;
    relay++;
    int life = node.incarnation();
    fleet.simulation.after(BACKOFF.delayMs(failures++, fleet.random), () -> {
      if (node.alive() && node.incarnation() == life && link == null) {
        connect();
      }
    });
  }

  private void look() {
    if (node.alive() && node.reads() && link != null
        && fleet.simulation.now() - heardAt > SILENT_MS) {
      link.closeByClient();
      leave();
    }
    fleet.simulation.after(LOOK_MS, this::look);
  }
}
