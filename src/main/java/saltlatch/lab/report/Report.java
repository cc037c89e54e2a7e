package saltlatch.lab.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import saltlatch.lab.load.Outcome;
import saltlatch.lab.load.RunResult;

/**
 * A self-contained HTML page of one run, with inline SVG plots (p99 latency a second,
 * passed/denied/aborted a second, units charged against the plan for the heaviest customers), its
 * checks, and a table against a baseline run with the ratio of each figure. Needs no network to
 * open.
 */
public final class Report {
  private static final int W = 720; // px of a plot
  private static final int H = 220;
  private static final int PAD = 40;

  private Report() {}

  /** The page; {@code base} may be null. */
  public static String html(RunResult r, RunResult base) {
    StringBuilder o = new StringBuilder(32_768);
    o.append("<!doctype html><html><head><meta charset=\"utf-8\"><title>saltlatch lab: ")
        .append(esc(r.scenario())).append(
            "</title><style>body{font:14px sans-serif;margin:24px;max-width:780px}table{border-collapse:collapse}"
                + "td,th{border:1px solid #bbb;padding:3px 8px;text-align:right}th{background:#eee}.bad{color:#b00}"
                + ".good{color:#070}svg{background:#fafafa;border:1px solid #ddd}</style></head><body>");
    o.append("<h1>").append(esc(r.scenario())).append("</h1><p>Loopback run: ").append(r.nodes())
        .append(" edge nodes, ").append(r.servers()).append(" emulated app servers, ")
        .append(r.offered()).append(" reqs offered over ").append(fmt(r.seconds()))
        .append(" s, seed ").append(r.seed()).append(", schedule ")
        .append(r.scheduleDigest(), 0, 12).append(".</p>");
    o.append("<h2>Checks</h2><ul>");
    for (RunResult.Check c : r.checks()) {
      o.append("<li class=\"").append(c.passed() ? "good" : "bad").append("\">")
          .append(c.passed() ? "passed" : "FAILED").append(": ").append(esc(c.name())).append(" (")
          .append(esc(c.detail())).append(")</li>");
    }
    o.append("</ul>");
    if (r.faults() != null && !r.faults().isEmpty()) o.append(timeLine(r));
    List<double[]> p99 = new ArrayList<>();
    List<double[]> pass = new ArrayList<>();
    List<double[]> deny = new ArrayList<>();
    List<double[]> abort = new ArrayList<>();
    for (long[] row : r.perSecond()) {
      p99.add(new double[] {row[0], row[4] / 1000.0});
      pass.add(new double[] {row[0], row[1]});
      deny.add(new double[] {row[0], row[2]});
      abort.add(new double[] {row[0], row[3]});
    }
    o.append("<h2>Latency</h2>").append(
        plot("p99 of answers a second (ms)", "s", List.of(p99), List.of("p99"), List.of("#c33")));
    o.append("<h2>Outcomes</h2>")
        .append(plot("tries a second by outcome", "s", List.of(pass, deny, abort),
            List.of("passed", "denied", "aborted/other"), List.of("#393", "#c93", "#c33")));
    o.append("<h2>Units against plan</h2>");
    for (RunResult.Customer c : r.customers()) {
      List<double[]> used = new ArrayList<>();
      List<double[]> allowed = new ArrayList<>();
      double total = 0;
      long first = c.unitsPerSecond().isEmpty() ? 0 : c.unitsPerSecond().get(0)[0];
      for (long[] u : c.unitsPerSecond()) {
        total += u[1];
        used.add(new double[] {u[0], total});
        allowed.add(new double[] {u[0], c.burst() + c.rate() * (u[0] - first + 1)});
      }
      o.append(plot(
          String.format(Locale.ROOT, "customer %d: units charged in all, beyond plan at worst %.0f",
              c.id(), c.beyond()),
          "s", List.of(used, allowed), List.of("charged", "plan"), List.of("#36c", "#999")));
    }
    o.append("<h2>Figures</h2>").append(table(r, base));
    o.append("</body></html>\n");
    return o.toString();
  }

  /**
   * What was done to which process and link, second by second, a row a node, with what broke under
   * it.
   */
  static String timeLine(RunResult r) {
    int row = 18; // px of a node's row
    int top = 20;
    int height = top + row * r.nodes() + 24;
    double perS = (W - PAD - 10) / Math.max(1, r.seconds());
    StringBuilder o = new StringBuilder(
        "<h2>Time line</h2><svg xmlns=\"http://www.w3.org/2000/svg\" width=\"").append(W)
        .append("\" height=\"").append(height).append("\">");
    for (int n = 0; n < r.nodes(); n++) {
      o.append(String.format(Locale.ROOT,
          "<text x=\"4\" y=\"%d\" font-size=\"11\">n%d</text>"
              + "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#ddd\"/>",
          top + row * n + 13, n, PAD, top + row * n + row, W - 10, top + row * n + row));
    }
    for (int s = 0; s <= r.seconds(); s += Math.max(1, (int) (r.seconds() / 12))) {
      o.append(String.format(Locale.ROOT, "<text x=\"%.0f\" y=\"%d\" font-size=\"10\">%d s</text>",
          PAD + s * perS, height - 8, s));
    }
    for (RunResult.Fault f : r.faults()) {
      String colour = f.what().startsWith("kill") || f.what().startsWith("term") ? "#c33"
          : f.what().startsWith("pause") ? "#c93" : "#69c";
      for (String node : f.nodes()) {
        int first = node.equals("all") ? 0 : Integer.parseInt(node.substring(1));
        int rows = node.equals("all") ? r.nodes() : 1;
        o.append(String.format(Locale.ROOT,
            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\""
                + " fill-opacity=\"0.6\"><title>%s, %s s to %s s</title></rect>",
            PAD + f.fromS() * perS, top + row * first + 2,
            Math.max(2, (f.untilS() - f.fromS()) * perS), row * rows - 4, colour, esc(f.what()),
            fmt(f.fromS()), fmt(f.untilS())));
      }
    }
    o.append(
        "</svg><p>Red: killed or ended, until started again; ochre: stopped; blue: links and app servers.</p><ul>");
    for (RunResult.Fault f : r.faults()) {
      o.append("<li>").append(fmt(f.fromS())).append(" s to ").append(fmt(f.untilS()))
          .append(" s: ").append(esc(f.what())).append(" ")
          .append(esc(String.join(", ", f.nodes())))
          .append("; the worst customer's units beyond its quota grew by ")
          .append(fmt(f.beyondUnits())).append("</li>");
    }
    if (r.members() != null)
      o.append("<li>membership: ").append(esc(r.members().toString())).append("</li>");
    o.append("</ul><p>Survivors' passed share back at nine tenths after ")
        .append(r.recoveryS() < 0 ? "the run's end" : fmt(r.recoveryS()) + " s")
        .append("; relays' own delay ").append(esc(String.valueOf(r.relayDelayUs())))
        .append(" µs.</p>");
    if (!r.violations().isEmpty()) {
      o.append("<h3 class=\"bad\">What broke</h3><ul>");
      for (String v : r.violations()) o.append("<li>").append(esc(v)).append("</li>");
      o.append("</ul>");
    }
    return o.toString();
  }

  /** The figures a run is compared by, in order. */
  public static Map<String, Double> metrics(RunResult r) {
    Map<String, Double> m = new java.util.LinkedHashMap<>();
    m.put("offered", (double) r.offered());
    m.put("tries", (double) r.tries());
    for (Outcome oc : Outcome.values())
      m.put(oc.name().toLowerCase(Locale.ROOT), (double) r.outcomes().get(oc));
    m.put("denied with room", (double) r.deniedWithRoom());
    for (var e : r.latencyUs().entrySet()) m.put(e.getKey() + " ms", e.getValue() / 1000.0);
    m.put("sender late p99 ms", r.senderLateUs().get("p99") / 1000.0);
    if (r.truth() != null) {
      m.put("double charges", (double) r.truth().doubleCharges());
      m.put("repeated non-replayable", (double) r.truth().repeatedNonReplayable());
      m.put("units beyond plan", r.truth().unitsBeyondPlan());
      m.put("units charged", (double) r.truth().unitsCharged());
    }
    m.put("cpu s", r.process().cpuSeconds());
    m.put("node loop cpu s, most",
        r.nodeCounters().stream().mapToLong(n -> n.getOrDefault("loop_cpu_ms", 0L)).max().orElse(0)
            / 1000.0);
    m.put("rss MB", r.process().rssMb());
    return m;
  }

  private static String table(RunResult r, RunResult base) {
    StringBuilder o = new StringBuilder("<table><tr><th>figure</th><th>this run</th>");
    if (base != null) o.append("<th>baseline</th><th>ratio</th>");
    o.append("</tr>");
    Map<String, Double> now = metrics(r);
    Map<String, Double> before = base == null ? Map.of() : metrics(base);
    for (var e : now.entrySet()) {
      o.append("<tr><td style=\"text-align:left\">").append(esc(e.getKey())).append("</td><td>")
          .append(fmt(e.getValue())).append("</td>");
      if (base != null) {
        Double b = before.get(e.getKey());
        o.append("<td>").append(b == null ? "" : fmt(b)).append("</td><td>")
            .append(b == null || b == 0 ? "" : fmt(e.getValue() / b)).append("</td>");
      }
      o.append("</tr>");
    }
    return o.append("</table>").toString();
  }

  /** A line plot of several series of (x, y) points on shared axes, with a legend. */
  static String plot(String title, String xUnit, List<List<double[]>> series, List<String> names,
      List<String> colours) {
    double maxX = 1;
    double maxY = 1;
    for (List<double[]> s : series) {
      for (double[] p : s) {
        maxX = Math.max(maxX, p[0]);
        maxY = Math.max(maxY, p[1]);
      }
    }
    maxY = nice(maxY);
    StringBuilder o = new StringBuilder();
    o.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"").append(W).append("\" height=\"")
        .append(H).append("\"><text x=\"").append(PAD).append("\" y=\"16\" font-size=\"13\">")
        .append(esc(title)).append("</text>");
    int x0 = PAD;
    int y0 = H - 24;
    int x1 = W - 10;
    int y1 = 26;
    o.append(String.format(Locale.ROOT,
        "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#333\"/>", x0, y0, x1, y0));
    o.append(String.format(Locale.ROOT,
        "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#333\"/>", x0, y0, x0, y1));
    for (int i = 0; i <= 4; i++) {
      double v = maxY * i / 4;
      double y = y0 - (y0 - y1) * i / 4.0;
      o.append(String.format(Locale.ROOT, "<text x=\"2\" y=\"%.1f\" font-size=\"10\">%s</text>",
          y + 3, fmt(v)));
      o.append(String.format(Locale.ROOT,
          "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#ddd\"/>", x0, y, x1, y));
    }
    o.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\" font-size=\"10\">%s %s</text>",
        x1 - 50, H - 6, fmt(maxX), xUnit));
    for (int k = 0; k < series.size(); k++) {
      StringBuilder pts = new StringBuilder();
      for (double[] p : series.get(k)) {
        pts.append(String.format(Locale.ROOT, "%.1f,%.1f ", x0 + (x1 - x0) * p[0] / maxX,
            y0 - (y0 - y1) * p[1] / maxY));
      }
      o.append("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"").append(colours.get(k))
          .append("\" points=\"").append(pts).append("\"/>");
      o.append(String.format(Locale.ROOT,
          "<text x=\"%d\" y=\"%d\" font-size=\"11\" fill=\"%s\">%s</text>", x0 + 10 + 110 * k,
          y1 + 12, colours.get(k), esc(names.get(k))));
    }
    return o.append("</svg>").toString();
  }

  private static double nice(double v) {
    double step = Math.pow(10, Math.floor(Math.log10(v)));
    for (double m : new double[] {1, 2, 5, 10}) if (m * step >= v) return m * step;
    return 10 * step;
  }

  static String fmt(double v) {
    if (v == Math.rint(v) && Math.abs(v) < 1e12) return String.valueOf((long) v);
    return String.format(Locale.ROOT,
        Math.abs(v) >= 100 ? "%.0f" : Math.abs(v) >= 1 ? "%.2f" : "%.3f", v);
  }

  static String esc(String s) {
    return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"",
        "&quot;");
  }
}
