package saltlatch.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Discovery as a relay of the first tier sees it: may be frozen, then it tells older lists to who
 * comes anew.
 */
final class ModelAgent implements ModelLink.Server {
  private static final long KEEP_ALIVE_MS = 2_000;

  private record Change(long index, Entry entry) {}

  private final Simulation simulation;
  private final Set<ModelLink> watches = new LinkedHashSet<>();
  private final Map<String, Entry> list = new LinkedHashMap<>();
  private final List<Change> log = new ArrayList<>();
  private final Deque<Runnable> held = new ArrayDeque<>();
  private Version version;
  private long logBegin;
  private boolean frozen;
  private Message last;

  ModelAgent(Simulation simulation) {
    this.simulation = simulation;
    keepAlives();
  }

  void freeze(boolean freeze) {
    frozen = freeze;
    while (!frozen && !held.isEmpty()) {
      held.poll().run();
    }
  }

  void reset(Version to, List<Entry> whole) {
    learn(() -> {
      version = to;
      list.clear();
      log.clear();
      whole.forEach(entry -> list.put(entry.name(), entry));
      logBegin = to.index();
      // Every other series is told to open watches by a change alone.
      tell(to.series() % 2 == 0 ? whole()
          : new Message(Message.Kind.CHANGES, to, whole.subList(0, 1)));
    });
  }

  void changed(Version to, List<Entry> entries) {
    learn(() -> {
      version = to;
      entries.forEach(this::put);
      Message former = last;
      last = new Message(Message.Kind.CHANGES, version, entries);
      tell(last);
      if (former != null && to.index() % 7 == 0) {
        tell(former); // told twice, and late
      }
    });
  }

  /** Ends all watches with a line that can't be read. */
  void sendMalformedLine() {
    List<ModelLink> all = new ArrayList<>(watches);
    watches.clear();
    all.forEach(link -> link.closeByServer(true));
  }

  @Override
  public void accept(ModelLink link, Version since) {
    watches.add(link);
    boolean covered = since.series() == version.series() && since.index() >= logBegin
        && since.index() <= version.index();
    link.send(covered ? since(since.index()) : whole());
  }

  @Override
  public void drained(ModelLink link) {}

  @Override
  public void closed(ModelLink link) {
    watches.remove(link);
  }

  private void learn(Runnable news) {
    if (frozen) {
      held.add(news);
    } else {
      news.run();
    }
  }

  private void put(Entry entry) {
    log.add(new Change(version.index(), entry));
    if (entry.removed()) {
      list.remove(entry.name());
    } else {
      list.put(entry.name(), entry);
    }
  }

  private Message whole() {
    return new Message(Message.Kind.SNAPSHOT, version, List.copyOf(list.values()));
  }

  private Message since(long index) {
    Map<String, Entry> latest = new LinkedHashMap<>();
    log.stream().filter(change -> change.index > index)
        .forEach(change -> latest.put(change.entry.name(), change.entry));
    return new Message(Message.Kind.CHANGES, version, List.copyOf(latest.values()));
  }

  private void tell(Message message) {
    watches.forEach(link -> link.send(message));
  }

  private void keepAlives() {
    tell(new Message(Message.Kind.KEEP_ALIVE, Version.NONE, List.of()));
    simulation.after(KEEP_ALIVE_MS, this::keepAlives);
  }
}
