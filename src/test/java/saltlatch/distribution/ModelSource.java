package saltlatch.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The source of the list, with a checksum of each version that it ever had, and the agents that
 * receive its changes.
 */
final class ModelSource {
  private final SplittableRandom random;
  private final Map<Version, Long> checksums = new LinkedHashMap<>();
  private final Map<Version, Long> creationTimesMs = new LinkedHashMap<>();
  private final List<ModelAgent> agents = new ArrayList<>();
  private final Map<String, Entry> list = new LinkedHashMap<>();
  private final int nameCount;
  private final int paddingBytes;
  private Version version = new Version(1_000, 1);
  private long checksum;
  private long entriesCreated;

  ModelSource(int nameCount, int paddingBytes, SplittableRandom random) {
    this.nameCount = nameCount;
    this.paddingBytes = paddingBytes;
    this.random = random;
    for (int name = 0; name < nameCount * 3 / 4; name++) {
      apply(entry(name));
    }
    checksums.put(version, checksum);
    creationTimesMs.put(version, 0L);
  }

  static long checksum(Entry entry) {
    long mixed = entry.name().hashCode() * 0x9E3779B97F4A7C15L + entry.json().hashCode();
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return mixed ^ (mixed >>> 29);
  }

  Version version() {
    return version;
  }

  /**
   * Returns the checksum of the complete list at a version, or null if the version never existed.
   */
  Long checksum(Version at) {
    return checksums.get(at);
  }

  /** Returns when a version was created, in ms. */
  long createdAtMs(Version at) {
    return creationTimesMs.get(at);
  }

  List<Entry> entries() {
    return List.copyOf(list.values());
  }

  void add(ModelAgent agent) {
    agents.add(agent);
    agent.reset(version, entries());
  }

  /** Adds, modifies or removes one to three names; one index in ten skips two numbers. */
  void change(long now) {
    List<Entry> changed = new ArrayList<>();
    for (int remaining = random.nextInt(1, 4); remaining > 0; remaining--) {
      Entry entry = entry(random.nextInt(nameCount));
      if (list.containsKey(entry.name()) && random.nextInt(3) == 0) {
        entry = list.get(entry.name()).asRemoved();
      }
      apply(entry);
      changed.add(entry);
    }
    version = new Version(version.series(), version.index() + (random.nextInt(10) == 0 ? 3 : 1));
    recordVersion(now);
    agents.forEach(agent -> agent.changed(version, changed));
  }

  /** Starts a new series; its first list includes five random changes. */
  void beginSeries(long now) {
    for (int remaining = 5; remaining > 0; remaining--) {
      Entry entry = entry(random.nextInt(nameCount));
      apply(random.nextBoolean() ? entry.asRemoved() : entry);
    }
    version = new Version(version.series() + 1, 1);
    recordVersion(now);
    List<Entry> snapshot = entries();
    agents.forEach(agent -> agent.reset(version, snapshot));
  }

  private void recordVersion(long now) {
    checksums.put(version, checksum);
    creationTimesMs.put(version, now);
  }

  private Entry entry(int name) {
    String json = "{\"name\":\"s" + name + "\",\"state\":" + entriesCreated++ + ",\"x\":\""
        + "x".repeat(paddingBytes) + "\"}";
    return new Entry("s" + name, false, json);
  }

  private void apply(Entry entry) {
    Entry previous = entry.removed() ? list.remove(entry.name()) : list.put(entry.name(), entry);
    checksum -= previous == null ? 0 : checksum(previous);
    checksum += entry.removed() ? 0 : checksum(entry);
  }
}
