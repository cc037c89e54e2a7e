package saltlatch.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The true list, with a checksum of each version that it ever had, and the agents that tell it. */
final class ModelSource {
  private final SplittableRandom random;
  private final Map<Version, Long> checksums = new LinkedHashMap<>();
  private final Map<Version, Long> times = new LinkedHashMap<>();
  private final List<ModelAgent> agents = new ArrayList<>();
  private final Map<String, Entry> list = new LinkedHashMap<>();
  private final int names;
  private final int fill;
  private Version version = new Version(1_000, 1);
  private long checksum;
  private long written;

  ModelSource(int names, int fill, SplittableRandom random) {
    this.names = names;
    this.fill = fill;
    this.random = random;
    for (int name = 0; name < names * 3 / 4; name++) {
      put(entry(name));
    }
    checksums.put(version, checksum);
    times.put(version, 0L);
  }

  static long checksum(Entry entry) {
    long mixed = entry.name().hashCode() * 0x9E3779B97F4A7C15L + entry.json().hashCode();
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return mixed ^ (mixed >>> 29);
  }

  Version version() {
    return version;
  }

  /** The checksum of the whole list at a version, null if there never was such a version. */
  Long checksum(Version at) {
    return checksums.get(at);
  }

  /** When a version began, ms. */
  long time(Version at) {
    return times.get(at);
  }

  List<Entry> entries() {
    return List.copyOf(list.values());
  }

  void add(ModelAgent agent) {
    agents.add(agent);
    agent.reset(version, entries());
  }

  /** One to three names are added, altered or removed; indexes leap now and then. */
  void change(long now) {
    List<Entry> changed = new ArrayList<>();
    for (int left = random.nextInt(1, 4); left > 0; left--) {
      Entry entry = entry(random.nextInt(names));
      if (list.containsKey(entry.name()) && random.nextInt(3) == 0) {
        entry = list.get(entry.name()).asRemoved();
      }
      put(entry);
      changed.add(entry);
    }
    version = new Version(version.series(), version.index() + (random.nextInt(10) == 0 ? 3 : 1));
    record(now);
    agents.forEach(agent -> agent.changed(version, changed));
  }

  /** The numbering begins anew, with what happened meanwhile. */
  void beginSeries(long now) {
    for (int left = 5; left > 0; left--) {
      Entry entry = entry(random.nextInt(names));
      put(random.nextBoolean() ? entry.asRemoved() : entry);
    }
    version = new Version(version.series() + 1, 1);
    record(now);
    List<Entry> whole = entries();
    agents.forEach(agent -> agent.reset(version, whole));
  }

  private void record(long now) {
    checksums.put(version, checksum);
    times.put(version, now);
  }

  private Entry entry(int name) {
    String json = "{\"name\":\"s" + name + "\",\"state\":" + written++ + ",\"x\":\""
        + "x".repeat(fill) + "\"}";
    return new Entry("s" + name, false, json);
  }

  private void put(Entry entry) {
    Entry former = entry.removed() ? list.remove(entry.name()) : list.put(entry.name(), entry);
    checksum -= former == null ? 0 : checksum(former);
    checksum += entry.removed() ? 0 : checksum(entry);
  }
}
