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
 * How long membership took, out of a run's histories, in seconds, a value for each observer: until
 * one that was killed was held failed (T1), until one that was continued was held alive again by
 * those who held it failed (T2), until the views of all that run were equal after links healed (T3,
 * a value a heal); and members held failed that ran, reachable by all.
 */
public record MemberTimes(List<Double> failed, List<Double> back, List<Double> equal,
    int falselyFailed) {

  /** Null where no node knows another. */
  public static MemberTimes of(List<HistoryEvent> history) {
    if (history.stream().noneMatch(l -> l.kind().equals("member"))) return null;
    Run run = new Run();
    for (HistoryEvent l : history) run.see(l);
    return new MemberTimes(run.failed, run.back, run.equal, run.falselyFailed);
  }

  /** The median, the 99th percentile and the most of some times; empty ones are told as such. */
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
    final List<Double> failed = new ArrayList<>();
    final List<Double> back = new ArrayList<>();
    final List<Double> equal = new ArrayList<>();
    int falselyFailed;
    private final Map<String, Long> killedAt = new HashMap<>();
    private final Map<String, Long> continuedAt = new HashMap<>();
    private final Set<String> stopped = new HashSet<>();
    // of the processes that run
    private final Map<String, Map<String, String>> views = new TreeMap<>();
    private final List<long[]> cuts = new ArrayList<>();
    private final Set<Long> heals = new HashSet<>(); // whose views are not equal yet

    void see(HistoryEvent l) {
      switch (l.kind()) {
        case "planned" -> {
          if (l.get("what").contains(" - ") || l.get("what").contains(" > ")) {
            long until = Long.parseLong(l.get("until_ns"));
            if (l.get("what").startsWith("cut") && cuts.stream().noneMatch(c -> c[1] == until))
              heals.add(until);
            cuts.add(new long[] {Long.parseLong(l.get("from_ns")), until});
          }
        }
        case "fault" -> fault(l, l.get("node"));
        case "ends" -> views.remove(l.name());
        case "started" -> {
          views.put(l.name(), new TreeMap<>());
          killedAt.remove(l.name());
        }
        case "member" -> {
          Map<String, String> view = views.get(l.name());
          if (view == null) return;
          String before = view.put(l.get("member"),
              l.get("state").equals("suspect") ? "alive" : l.get("state"));
          news(l, before == null ? "unknown" : before);
        }
        default -> {}
      }
    }

    private void fault(HistoryEvent l, String node) {
      switch (l.get("kind")) {
        case "kill", "term" -> {
          views.remove(node);
          if (l.get("kind").equals("kill")) killedAt.put(node, l.monoNs());
        }
        case "stop" -> {
          stopped.add(node);
          continuedAt.remove(node);
        }
        case "cont" -> {
          stopped.remove(node);
          continuedAt.put(node, l.monoNs());
        }
        default -> {}
      }
    }

    private void news(HistoryEvent l, String before) {
      String member = l.get("member");
      String state = l.get("state");
      if (state.equals("failed") && killedAt.containsKey(member)) {
        if (undisturbed(l, killedAt.get(member))) failed.add(since(l, killedAt.get(member)));
      } else if (state.equals("failed") && !stopped.contains(member) && !cutLately(l.monoNs())) {
        falselyFailed++;
      }
      if (state.equals("alive") && before.equals("failed") && continuedAt.containsKey(member)
          && undisturbed(l, continuedAt.get(member))) {
        back.add(since(l, continuedAt.get(member)));
      }
      heals.removeIf(healed -> {
        boolean done = l.monoNs() >= healed && same();
        if (done) equal.add(since(l, healed));
        return done;
      });
    }

    /**
     * From then on no cut, and the observer itself was not away: a stated time counts from a fault
     * that stands alone.
     */
    private boolean undisturbed(HistoryEvent l, long fromNs) {
      for (long[] c : cuts) if (c[0] <= l.monoNs() && c[1] >= fromNs) return false;
      return !stopped.contains(l.name())
          && continuedAt.getOrDefault(l.name(), Long.MIN_VALUE) < fromNs;
    }

    /** A verdict may rest on a silence that a cut made some time ago. */
    private boolean cutLately(long ns) {
      for (long[] c : cuts) if (ns >= c[0] && ns <= c[1] + 60e9) return true;
      for (long at : continuedAt.values()) if (ns - at < 60e9) return true;
      return !stopped.isEmpty();
    }

    private boolean same() {
      Map<String, String> first = null;
      for (Map.Entry<String, Map<String, String>> e : views.entrySet()) {
        if (stopped.contains(e.getKey())) continue;
        if (first == null) first = e.getValue();
        else if (!first.equals(e.getValue())) return false;
      }
      return true;
    }

    private static double since(HistoryEvent l, long ns) {
      return (l.monoNs() - ns) / 1e9;
    }
  }
}
