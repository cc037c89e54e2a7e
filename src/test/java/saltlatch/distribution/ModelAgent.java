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
 * A discovery agent as seen by a relay of the first tier. While it is frozen it receives no changes
 * and sends its older list to new watches.
 */
final class ModelAgent implements ModelLink.Server {
  private static final long KEEP_ALIVE_MS = 2_000;

  private record Change(long index, Entry entry) {}

  private final Simulation simulation;
  private final Set<ModelLink> watches = new LinkedHashSet<>();
  private final Map<String, Entry> list = new LinkedHashMap<>();
  private final List<Change> log = new ArrayList<>();
  private final Deque<Runnable> deferred = new ArrayDeque<>();
  private Version version;
  private long logStart;
  private boolean frozen;
  private Message lastMessage;

  ModelAgent(Simulation simulation) {
    this.simulation = simulation;
    sendKeepAlives();
  }

  void setFrozen(boolean frozen) {
    this.frozen = frozen;
    while (!this.frozen && !deferred.isEmpty()) {
      deferred.poll().run();
    }
  }

  void reset(Version newVersion, List<Entry> entries) {
    applyOrDefer(() -> {
      version = newVersion;
      list.clear();
      log.clear();
      entries.forEach(entry -> list.put(entry.name(), entry));
      logStart = newVersion.index();
      // Open watches receive every other series only as a change, without a snapshot.
      broadcast(newVersion.series() % 2 == 0 ? snapshot()
          : new Message(Message.Kind.CHANGES, newVersion, entries.subList(0, 1)));
    });
  }

  void changed(Version newVersion, List<Entry> entries) {
    applyOrDefer(() -> {
      version = newVersion;
      entries.forEach(this::apply);
      Message previous = lastMessage;
      lastMessage = new Message(Message.Kind.CHANGES, version, entries);
      broadcast(lastMessage);
      if (previous != null && newVersion.index() % 7 == 0) {
        broadcast(previous); // a duplicate, out of order
      }
    });
  }

  /** Sends a malformed line on all watches and closes them. */
  void sendMalformedLine() {
    List<ModelLink> all = new ArrayList<>(watches);
    watches.clear();
    all.forEach(link -> link.closeByServer(true));
  }

  @Override
  public void accept(ModelLink link, Version since) {
    watches.add(link);
    boolean resumable = since.series() == version.series() && since.index() >= logStart
        && since.index() <= version.index();
    link.send(resumable ? changesSince(since.index()) : snapshot());
  }

  @Override
  public void drained(ModelLink link) {}

  @Override
  public void closed(ModelLink link) {
    watches.remove(link);
  }

  private void applyOrDefer(Runnable update) {
    if (frozen) {
      deferred.add(update);
    } else {
      update.run();
    }
  }

  private void apply(Entry entry) {
    log.add(new Change(version.index(), entry));
    if (entry.removed()) {
      list.remove(entry.name());
    } else {
      list.put(entry.name(), entry);
    }
  }

  private Message snapshot() {
    return new Message(Message.Kind.SNAPSHOT, version, List.copyOf(list.values()));
  }

  private Message changesSince(long index) {
    Map<String, Entry> latest = new LinkedHashMap<>();
    log.stream().filter(change -> change.index > index)
        .forEach(change -> latest.put(change.entry.name(), change.entry));
    return new Message(Message.Kind.CHANGES, version, List.copyOf(latest.values()));
  }

  private void broadcast(Message message) {
    watches.forEach(link -> link.send(message));
  }

  private void sendKeepAlives() {
    broadcast(new Message(Message.Kind.KEEP_ALIVE, Version.NONE, List.of()));
    simulation.schedule(KEEP_ALIVE_MS, this::sendKeepAlives);
  }
}
