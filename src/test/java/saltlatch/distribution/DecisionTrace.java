package saltlatch.distribution;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Replays the events of a trace on one distributor and records each event followed by the resulting
 * actions, one per line as {@code -> ...}. Sockets accept messages at once, except those of
 * watchers that have stopped reading. Messages are numbered by instance. Keep-alives that are sent
 * while time advances are only counted.
 */
final class DecisionTrace implements DistributorActions {
  private static final String ACTION = "  -> ";

  private final StringBuilder recorded = new StringBuilder();
  private final Map<String, Integer> options = new HashMap<>();
  private final IdentityHashMap<Message, Integer> messageNumbers = new IdentityHashMap<>();
  private final Set<Long> stoppedWatchers = new LinkedHashSet<>();
  private final Deque<Long> drainedWatchers = new ArrayDeque<>();
  private final Map<Long, Integer> keepAlives = new TreeMap<>();
  private Distributor distributor;
  private long now;
  private long advancedTo;
  private boolean advancing;

  /** Returns the text of a trace. */
  static String read(String name) {
    try (InputStream in = DecisionTrace.class
        .getResourceAsStream("/distribution/" + name + ".trace")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the events of a trace with the resulting actions. */
  static String play(String trace) {
    DecisionTrace player = new DecisionTrace();
    for (String line : trace.split("\n", 0)) {
      if (!line.contains("-> ")) {
        player.recorded.append(line).append('\n');
        player.replay(line.strip().split(" +"));
      }
    }
    return player.recorded.toString();
  }

  private void replay(String[] words) {
    if (words[0].isEmpty() || words[0].equals("#")) {
      return;
    }
    if (words[0].equals("limits")) {
      createDistributor(words);
      return;
    }
    now = Long.parseLong(words[0]);
    if (words[1].equals("status")) {
      recordStatus(words);
      return;
    }
    if (!words[1].equals("reached")) {
      advancedTo = now;
    }
    reportEvent(words);
    while (!drainedWatchers.isEmpty()) {
      distributor.watcherDrained(drainedWatchers.poll(), now);
    }
  }

  private void createDistributor(String[] words) {
    for (int word = 1; word < words.length; word++) {
      String[] option = words[word].split("=", 0);
      options.put(option[0], Integer.parseInt(option[1]));
    }
    RelayLimits limits = new RelayLimits(options.get("watchers"), options.get("entries"),
        options.get("log"), options.get("budget"));
    distributor = new Distributor(limits, options.get("upstreams"), options.get("seed"), this);
  }

  private void reportEvent(String[] words) {
    int number = words.length > 2 ? Integer.parseInt(words[2]) : 0;
    switch (words[1]) {
      case "start" -> distributor.start(now);
      case "stop" -> distributor.stop(now);
      case "opened" -> distributor.upstreamOpened(number, now);
      case "alive" -> distributor.upstreamAlive(number, now);
      case "whole", "changes" -> distributor.upstreamUpdated(number, parseUpdate(words), now);
      case "failed" -> distributor.upstreamFailed(number,
          Distributor.Failure.valueOf(words[3].toUpperCase(Locale.ROOT)), now);
      case "watcher" -> distributor.watcherOpened(number, parseVersion(words[4]), now);
      case "stops" -> stoppedWatchers.add((long) number);
      case "progressed" -> distributor.watcherProgressed(number, now);
      case "takes" -> {
        stoppedWatchers.remove((long) number);
        distributor.watcherDrained(number, now);
      }
      case "closed" -> distributor.watcherClosed(number, now);
      case "reached" -> run(now, words.length > 2 ? number : -1);
      default -> throw new IllegalArgumentException("unknown event of a trace: " + words[1]);
    }
  }

  /**
   * Advances time in steps of 1 ms up to {@code end} and ticks whenever a tick is due. If {@code
   * aliveUpstream} is not negative, that upstream sends an empty line every second.
   */
  private void run(long end, int aliveUpstream) {
    advancing = true;
    for (long at = advancedTo; at <= end; at++) {
      advancedTo = at;
      now = at;
      if (aliveUpstream >= 0 && at % 1_000 == 0) {
        distributor.upstreamAlive(aliveUpstream, at);
      }
      if (distributor.nextTickAtMs() <= at) {
        distributor.tick(at);
      }
      while (!drainedWatchers.isEmpty()) {
        distributor.watcherDrained(drainedWatchers.poll(), at);
      }
    }
    advancing = false;
    keepAlives.forEach((watcher, count) -> recordAction(count + " keep-alives to " + watcher));
    keepAlives.clear();
  }

  private void recordStatus(String[] words) {
    RelayStatus status = distributor.status(now);
    String text = status.toString().replaceAll("Version.series=(\\d+), index=(\\d+).", "$1/$2");
    Map<String, String> values = new HashMap<>();
    for (String field : text.substring(text.indexOf('[') + 1, text.length() - 1)
        .split(", (?=[a-zA-Z]+=)", 0)) {
      int separator = field.indexOf('=');
      values.put(field.substring(0, separator), field.substring(separator + 1));
    }
    List<String> requested = new ArrayList<>();
    for (int word = 2; word < words.length; word++) {
      requested.add(words[word] + "=" + values.get(words[word]));
    }
    recorded.append(ACTION).append(String.join(" ", requested)).append('\n');
  }

  private static Version parseVersion(String text) {
    String[] parts = text.split("/", 0);
    return new Version(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
  }

  private static Update parseUpdate(String[] words) {
    List<Entry> entries = new ArrayList<>();
    for (int word = 4; word < words.length; word++) {
      boolean removed = words[word].endsWith("-");
      String[] parts = removed
          ? new String[] {words[word].substring(0, words[word].length() - 1), ""}
          : words[word].split("=", 0);
      entries.add(new Entry(parts[0], removed, parts[1]));
    }
    return new Update(parseVersion(words[3]), words[1].equals("whole"), entries);
  }

  @Override
  public void openUpstream(int upstream, Version since) {
    recordAction("open " + upstream + " since " + format(since));
  }

  @Override
  public void closeUpstream(int upstream, Reason reason) {
    recordAction("close " + upstream + ": " + reason);
  }

  @Override
  public void closeWatcher(long watcher, Reason reason) {
    recordAction("close watcher " + watcher + ": " + reason);
  }

  @Override
  public void send(long watcher, Message message) {
    if (!stoppedWatchers.contains(watcher)) {
      drainedWatchers.add(watcher);
    }
    boolean keepAlive = message.kind() == Message.Kind.KEEP_ALIVE;
    if (advancing && keepAlive) {
      keepAlives.merge(watcher, 1, Integer::sum);
      return;
    }
    recordAction(keepAlive ? "keep-alive to " + watcher : describe(message) + " to " + watcher);
  }

  private String describe(Message message) {
    messageNumbers.putIfAbsent(message, messageNumbers.size() + 1);
    String entries = message.entries().stream()
        .map(entry -> entry.name() + (entry.removed() ? "-" : "=" + entry.json()))
        .collect(Collectors.joining(" "));
    return message.kind().name().toLowerCase(Locale.ROOT) + " #" + messageNumbers.get(message) + " "
        + format(message.version()) + " [" + entries + "]";
  }

  private void recordAction(String action) {
    recorded.append(ACTION).append(advancing ? now + " " : "").append(action).append('\n');
  }

  private static String format(Version version) {
    return version.series() + "/" + version.index();
  }
}
