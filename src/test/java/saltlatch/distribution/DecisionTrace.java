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
 * Plays the events of a trace into one distributor and writes them down again with the actions that
 * follow, each as {@code -> ...} below its event. Watchers take what they are sent at once, except
 * those that have stopped. Messages are numbered by instance; a keep-alive while time runs is only
 * counted.
 */
final class DecisionTrace implements DistributorActions {
  private static final String ACTION = "  -> ";

  private final StringBuilder played = new StringBuilder();
  private final Map<String, Integer> options = new HashMap<>();
  private final IdentityHashMap<Message, Integer> numbers = new IdentityHashMap<>();
  private final Set<Long> stopped = new LinkedHashSet<>();
  private final Deque<Long> taken = new ArrayDeque<>();
  private final Map<Long, Integer> keepAlives = new TreeMap<>();
  private Distributor distributor;
  private long now;
  private long reached;
  private boolean running;

  /** The text of a trace. */
  static String read(String name) {
    try (InputStream in = DecisionTrace.class
        .getResourceAsStream("/distribution/" + name + ".trace")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** What becomes of the events of a trace. */
  static String play(String trace) {
    DecisionTrace player = new DecisionTrace();
    for (String line : trace.split("\n", 0)) {
      if (!line.contains("-> ")) {
        player.played.append(line).append('\n');
        player.line(line.strip().split(" +"));
      }
    }
    return player.played.toString();
  }

  private void line(String[] words) {
    if (words[0].isEmpty() || words[0].equals("#")) {
      return;
    }
    if (words[0].equals("limits")) {
      limits(words);
      return;
    }
    now = Long.parseLong(words[0]);
    if (words[1].equals("status")) {
      status(words);
      return;
    }
    if (!words[1].equals("reached")) {
      reached = now;
    }
    event(words);
    while (!taken.isEmpty()) {
      distributor.watcherDrained(taken.poll(), now);
    }
  }

  private void limits(String[] words) {
    for (int word = 1; word < words.length; word++) {
      String[] option = words[word].split("=", 0);
      options.put(option[0], Integer.parseInt(option[1]));
    }
    RelayLimits limits = new RelayLimits(options.get("watchers"), options.get("entries"),
        options.get("log"), options.get("budget"));
    distributor = new Distributor(limits, options.get("upstreams"), options.get("seed"), this);
  }

  private void event(String[] words) {
    int number = words.length > 2 ? Integer.parseInt(words[2]) : 0;
    switch (words[1]) {
      case "start" -> distributor.start(now);
      case "stop" -> distributor.stop(now);
      case "opened" -> distributor.upstreamOpened(number, now);
      case "alive" -> distributor.upstreamAlive(number, now);
      case "whole", "changes" -> distributor.upstreamUpdated(number, update(words), now);
      case "failed" -> distributor.upstreamFailed(number,
          Distributor.Failure.valueOf(words[3].toUpperCase(Locale.ROOT)), now);
      case "watcher" -> distributor.watcherOpened(number, version(words[4]), now);
      case "stops" -> stopped.add((long) number);
      case "progressed" -> distributor.watcherProgressed(number, now);
      case "takes" -> {
        stopped.remove((long) number);
        distributor.watcherDrained(number, now);
      }
      case "closed" -> distributor.watcherClosed(number, now);
      case "reached" -> run(now, words.length > 2 ? number : -1);
      default -> throw new IllegalArgumentException(words[1]);
    }
  }

  /** Ticks whenever one is due; the upstream given says every second that it is there. */
  private void run(long end, int alive) {
    running = true;
    for (long at = reached; at <= end; at++) {
      reached = at;
      now = at;
      if (alive >= 0 && at % 1_000 == 0) {
        distributor.upstreamAlive(alive, at);
      }
      if (distributor.nextTickAtMs() <= at) {
        distributor.tick(at);
      }
      while (!taken.isEmpty()) {
        distributor.watcherDrained(taken.poll(), at);
      }
    }
    running = false;
    keepAlives.forEach((watcher, count) -> act(count + " keep-alives to " + watcher));
    keepAlives.clear();
  }

  private void status(String[] words) {
    RelayStatus status = distributor.status(now);
    String all = status.toString().replaceAll("Version.series=(\\d+), index=(\\d+).", "$1/$2");
    Map<String, String> values = new HashMap<>();
    for (String field : all.substring(all.indexOf('[') + 1, all.length() - 1)
        .split(", (?=[a-zA-Z]+=)", 0)) {
      values.put(field.substring(0, field.indexOf('=')), field.substring(field.indexOf('=') + 1));
    }
    List<String> asked = new ArrayList<>();
    for (int word = 2; word < words.length; word++) {
      asked.add(words[word] + "=" + values.get(words[word]));
    }
    played.append(ACTION).append(String.join(" ", asked)).append('\n');
  }

  private static Version version(String text) {
    String[] parts = text.split("/", 0);
    return new Version(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
  }

  private static Update update(String[] words) {
    List<Entry> entries = new ArrayList<>();
    for (int word = 4; word < words.length; word++) {
      boolean removed = words[word].endsWith("-");
      String[] parts = removed
          ? new String[] {words[word].substring(0, words[word].length() - 1), ""}
          : words[word].split("=", 0);
      entries.add(new Entry(parts[0], removed, parts[1]));
    }
    return new Update(version(words[3]), words[1].equals("whole"), entries);
  }

  @Override
  public void openUpstream(int upstream, Version since) {
    act("open " + upstream + " since " + text(since));
  }

  @Override
  public void closeUpstream(int upstream, Reason reason) {
    act("close " + upstream + ": " + reason);
  }

  @Override
  public void closeWatcher(long watcher, Reason reason) {
    act("close watcher " + watcher + ": " + reason);
  }

  @Override
  public void send(long watcher, Message message) {
    if (!stopped.contains(watcher)) {
      taken.add(watcher);
    }
    boolean keepAlive = message.kind() == Message.Kind.KEEP_ALIVE;
    if (running && keepAlive) {
      keepAlives.merge(watcher, 1, Integer::sum);
      return;
    }
    act(keepAlive ? "keep-alive to " + watcher : message(message) + " to " + watcher);
  }

  private String message(Message message) {
    numbers.putIfAbsent(message, numbers.size() + 1);
    String entries = message.entries().stream()
        .map(entry -> entry.name() + (entry.removed() ? "-" : "=" + entry.json()))
        .collect(Collectors.joining(" "));
    return message.kind().name().toLowerCase(Locale.ROOT) + " #" + numbers.get(message) + " "
        + text(message.version()) + " [" + entries + "]";
  }

  private void act(String action) {
    played.append(ACTION).append(running ? now + " " : "").append(action).append('\n');
  }

  private static String text(Version version) {
    return version.series() + "/" + version.index();
  }
}
