package saltlatch.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The detection times of membership, in seconds, computed from a run's histories.
 *
 * @param failed T1: time until a killed member is marked failed, one value for each observer
 * @param back T2: time until a continued member is marked alive again, one value for each observer
 *     that had marked it failed
 * @param equal T3: time until all running processes have equal views after links have healed, one
 *     value for each heal
 * @param falselyFailed number of times that a running member which every node could reach was
 *     marked failed
 */
public record MemberTimes(List<Double> failed, List<Double> back, List<Double> equal,
    int falselyFailed) {

  /** Returns the times of a run, or null if its history has no membership events. */
  public static MemberTimes of(List<HistoryEvent> history) {
    if (history.stream().noneMatch(event -> event.kind().equals("member"))) return null;
    Run run = new Run();
    for (HistoryEvent event : history) run.apply(event);
    return new MemberTimes(run.failed, run.back, run.equal, run.falselyFailed);
  }

  /** Formats the median, 99th percentile, maximum and count of some times, or "none". */
  public static String spread(List<Double> times) {
    if (times.isEmpty()) return "none";
    List<Double> sorted = times.stream().sorted().toList();
    return String.format(Locale.ROOT, "p50 %.1f p99 %.1f max %.1f of %d",
        sorted.get(sorted.size() / 2),
        sorted.get((int) Math.min(sorted.size() - 1, Math.ceil(0.99 * sorted.size()))),
        sorted.get(sorted.size() - 1), sorted.size());
  }

  @Override
  public String toString() {
    return "failed after (s) " + spread(failed) + "; back after " + spread(back)
        + "; equal after a heal " + spread(equal) + "; falsely failed " + falselyFailed;
  }

  /** The state of one run while its history is read. */
  private static final class Run {
    // a node may be marked failed this long after the cut or pause that caused the silence
    private static final double DELAYED_VERDICT_NS = 60e9;

    final List<Double> failed = new ArrayList<>();
    final List<Double> back = new ArrayList<>();
    final List<Double> equal = new ArrayList<>();
    int falselyFailed;
    private final Map<String, Long> killedAt = new HashMap<>();
    private final Map<String, Long> continuedAt = new HashMap<>();
    private final Set<String> stopped = new HashSet<>();
    // by running process: the state of each member
    private final Map<String, Map<String, String>> views = new TreeMap<>();
    private final List<long[]> linkFaults = new ArrayList<>(); // from and until, in ns
    // ends of cuts, in ns, after which the views are not equal yet
    private final Set<Long> pendingHeals = new HashSet<>();

    void apply(HistoryEvent event) {
      switch (event.kind()) {
        case "planned" -> {
          if (event.get("what").contains(" - ") || event.get("what").contains(" > ")) {
            long until = Long.parseLong(event.get("until_ns"));
            if (event.get("what").startsWith("cut")
                && linkFaults.stream().noneMatch(fault -> fault[1] == until))
              pendingHeals.add(until);
            linkFaults.add(new long[] {Long.parseLong(event.get("from_ns")), until});
          }
        }
        case "fault" -> applyFault(event, event.get("node"));
        case "ends" -> views.remove(event.name());
        case "started" -> {
          views.put(event.name(), new TreeMap<>());
          killedAt.remove(event.name());
        }
        case "member" -> {
          Map<String, String> view = views.get(event.name());
          if (view == null) return;
          String before = view.put(event.get("member"),
              event.get("state").equals("suspect") ? "alive" : event.get("state"));
          recordVerdict(event, before == null ? "unknown" : before);
        }
        default -> {}
      }
    }

    private void applyFault(HistoryEvent event, String node) {
      switch (event.get("kind")) {
        case "kill", "term" -> {
          views.remove(node);
          if (event.get("kind").equals("kill")) killedAt.put(node, event.monoNs());
        }
        case "stop" -> {
          stopped.add(node);
          continuedAt.remove(node);
        }
        case "cont" -> {
          stopped.remove(node);
          continuedAt.put(node, event.monoNs());
        }
        default -> {}
      }
    }

    private void recordVerdict(HistoryEvent event, String before) {
      String member = event.get("member");
      String state = event.get("state");
      if (state.equals("failed") && killedAt.containsKey(member)) {
        if (undisturbed(event, killedAt.get(member)))
          failed.add(since(event, killedAt.get(member)));
      } else if (state.equals("failed") && !stopped.contains(member)
          && !disturbedRecently(event.monoNs())) {
            falselyFailed++;
          }
      if (state.equals("alive") && before.equals("failed") && continuedAt.containsKey(member)
          && undisturbed(event, continuedAt.get(member))) {
        back.add(since(event, continuedAt.get(member)));
      }
      pendingHeals.removeIf(healed -> {
        boolean equalNow = event.monoNs() >= healed && viewsEqual();
        if (equalNow) equal.add(since(event, healed));
        return equalNow;
      });
    }

    /**
     * Returns whether no link fault has been active since the given time and the observer itself
     * has not been stopped: a detection time is measured only for a fault that occurs alone.
     */
    private boolean undisturbed(HistoryEvent event, long fromNs) {
      for (long[] fault : linkFaults) {
        if (fault[0] <= event.monoNs() && fault[1] >= fromNs) return false;
      }
      return !stopped.contains(event.name())
          && continuedAt.getOrDefault(event.name(), Long.MIN_VALUE) < fromNs;
    }

    /**
     * Returns whether a verdict at the given time may result from a link fault or a pause, which
     * may have ended up to 60 s earlier.
     */
    private boolean disturbedRecently(long ns) {
      for (long[] fault : linkFaults) {
        if (ns >= fault[0] && ns <= fault[1] + DELAYED_VERDICT_NS) return true;
      }
      for (long at : continuedAt.values()) {
        if (ns - at < DELAYED_VERDICT_NS) return true;
      }
      return !stopped.isEmpty();
    }

    private boolean viewsEqual() {
      Map<String, String> first = null;
      for (Map.Entry<String, Map<String, String>> view : views.entrySet()) {
        if (stopped.contains(view.getKey())) continue;
        if (first == null) first = view.getValue();
        else if (!first.equals(view.getValue())) return false;
      }
      return true;
    }

    private static double since(HistoryEvent event, long ns) {
      return (event.monoNs() - ns) / 1e9;
    }
  }
}
