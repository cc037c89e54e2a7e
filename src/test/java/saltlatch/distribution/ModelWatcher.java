package saltlatch.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A node that follows one of several relays and keeps the list. After each message its list is
 * compared with the one of the source at the same version.
 */
final class ModelWatcher implements ModelLink.Client {
  private static final long SILENCE_TIMEOUT_MS = 4_500;
  private static final long CHECK_INTERVAL_MS = 500;
  private static final Backoff BACKOFF = new Backoff(50, 1_000, 15_000);

  private final ModelFleet fleet;
  private final ModelFleet.Node node;
  private final List<ModelFleet.Node> relays;
  /** The last snapshot, shared by all watchers that received the same message. */
  private Map<String, Entry> snapshotEntries = Map.of();
  /** Entries changed since the last snapshot; null for a removed entry. */
  private final Map<String, Entry> changedEntries = new HashMap<>();
  private Version version = Version.NONE;
  private long checksum;
  private ModelLink link;
  private int relayIndex;
  private int failures;
  private long aliveAtMs;

  ModelWatcher(ModelFleet fleet, ModelFleet.Node node, List<ModelFleet.Node> relays,
      int firstRelay) {
    this.fleet = fleet;
    this.node = node;
    this.relays = relays;
    relayIndex = firstRelay;
    fleet.simulation.schedule(CHECK_INTERVAL_MS, this::checkSilence);
  }

  Version version() {
    return version;
  }

  void start() {
    snapshotEntries = Map.of();
    changedEntries.clear();
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
    aliveAtMs = fleet.simulation.now();
  }

  @Override
  public void messageReceived(ModelLink from, Message message) {
    if (from != link) {
      return;
    }
    aliveAtMs = fleet.simulation.now();
    failures = 0;
    if (message.kind() != Message.Kind.KEEP_ALIVE) {
      apply(message);
    }
  }

  @Override
  public void ended(ModelLink from, boolean malformed) {
    if (from == link) {
      reconnectLater();
    }
  }

  private void apply(Message message) {
    fleet.check(message.version().compareTo(version) > 0,
        node + " received " + message.version() + ", which is not newer than " + version);
    if (message.kind() == Message.Kind.SNAPSHOT) {
      ModelFleet.Snapshot snapshot = fleet.snapshotOf(message);
      snapshotEntries = snapshot.entries();
      changedEntries.clear();
      checksum = snapshot.checksum();
    } else {
      fleet.check(message.version().series() == version.series(),
          node + " received changes of another series");
      message.entries().forEach(this::applyChange);
    }
    version = message.version();
    Long expected = fleet.source.checksum(version);
    fleet.check(expected != null && expected == checksum,
        node + " has a different list than the source at " + version);
    fleet.recordApplied(version, message.kind());
  }

  private void applyChange(Entry entry) {
    Entry previous = changedEntries.containsKey(entry.name()) ? changedEntries.get(entry.name())
        : snapshotEntries.get(entry.name());
    checksum -= previous == null ? 0 : ModelSource.checksum(previous);
    checksum += entry.removed() ? 0 : ModelSource.checksum(entry);
    changedEntries.put(entry.name(), entry.removed() ? null : entry);
  }

  private void connect() {
    aliveAtMs = fleet.simulation.now();
    link = fleet.open(node, relays.get(relayIndex % relays.size()), version);
  }

  private void reconnectLater() {
    link = null;
    relayIndex++;
    int incarnation = node.incarnation();
    fleet.simulation.schedule(BACKOFF.delayMs(failures++, fleet.random), () -> {
      if (node.alive() && node.incarnation() == incarnation && link == null) {
        connect();
      }
    });
  }

  private void checkSilence() {
    if (node.alive() && node.reads() && link != null
        && fleet.simulation.now() - aliveAtMs > SILENCE_TIMEOUT_MS) {
      link.closeByClient();
      reconnectLater();
    }
    fleet.simulation.schedule(CHECK_INTERVAL_MS, this::checkSilence);
  }
}
