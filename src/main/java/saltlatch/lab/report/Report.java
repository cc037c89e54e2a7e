package saltlatch.lab.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import saltlatch.lab.load.Outcome;
import saltlatch.lab.load.RunResult;

/**
 * Writes a run as a self-contained HTML page that needs no network to open. The page has the run's
 * checks; inline SVG plots of the p99 latency and the outcomes by second, and of the units charged
 * against the quota plan for the heaviest customers; and a table of metrics, optionally compared
 * with a baseline run.
 */
public final class Report {
  private static final int WIDTH_PX = 720; // of a plot
  private static final int HEIGHT_PX = 220;
  private static final int MARGIN_PX = 40; // left of a plot
  private static final int RIGHT_MARGIN_PX = 10;
  private static final int ROW_PX = 18; // height of a node in the time line

  private Report() {}

  /**
   * Returns the page.
   *
   * @param baseline run to compare with, or null
   */
  public static String html(RunResult run, RunResult baseline) {
    StringBuilder html = new StringBuilder(32_768);
    html.append("<!doctype html><html><head><meta charset=\"utf-8\"><title>saltlatch lab: ")
        .append(escape(run.scenario())).append(
            "</title><style>body{font:14px sans-serif;margin:24px;max-width:780px}table{border-collapse:collapse}"
                + "td,th{border:1px solid #bbb;padding:3px 8px;text-align:right}th{background:#eee}.bad{color:#b00}"
                + ".good{color:#070}svg{background:#fafafa;border:1px solid #ddd}</style></head><body>");
    html.append("<h1>").append(escape(run.scenario())).append("</h1><p>Loopback run: ")
        .append(run.nodes()).append(" edge nodes, ").append(run.servers())
        .append(" emulated app servers, ").append(run.offered()).append(" reqs offered over ")
        .append(format(run.seconds())).append(" s, seed ").append(run.seed()).append(", schedule ")
        .append(run.scheduleDigest(), 0, 12).append(".</p>");
    html.append("<h2>Checks</h2><ul>");
    for (RunResult.Check check : run.checks()) {
      html.append("<li class=\"").append(check.passed() ? "good" : "bad").append("\">")
          .append(check.passed() ? "passed" : "FAILED").append(": ").append(escape(check.name()))
          .append(" (").append(escape(check.detail())).append(")</li>");
    }
    html.append("</ul>");
    if (run.faults() != null && !run.faults().isEmpty()) html.append(timeLine(run));
    List<double[]> p99Points = new ArrayList<>();
    List<double[]> succeededPoints = new ArrayList<>();
    List<double[]> rejectedPoints = new ArrayList<>();
    List<double[]> failedPoints = new ArrayList<>();
    for (long[] row : run.perSecond()) {
      p99Points.add(new double[] {row[0], row[4] / 1000.0});
      succeededPoints.add(new double[] {row[0], row[1]});
      rejectedPoints.add(new double[] {row[0], row[2]});
      failedPoints.add(new double[] {row[0], row[3]});
    }
    html.append("<h2>Latency</h2>").append(plot("p99 of answers a second (ms)", "s",
        List.of(p99Points), List.of("p99"), List.of("#c33")));
    html.append("<h2>Outcomes</h2>")
        .append(plot("tries a second by outcome", "s",
            List.of(succeededPoints, rejectedPoints, failedPoints),
            List.of("passed", "denied", "aborted/other"), List.of("#393", "#c93", "#c33")));
    html.append("<h2>Units against plan</h2>");
    for (RunResult.Customer customer : run.customers()) {
      List<double[]> chargedPoints = new ArrayList<>();
      List<double[]> planPoints = new ArrayList<>();
      double totalUnits = 0;
      long firstSecond = customer.unitsPerSecond().isEmpty() ? 0
          : customer.unitsPerSecond().get(0)[0];
      for (long[] secondAndUnits : customer.unitsPerSecond()) {
        totalUnits += secondAndUnits[1];
        chargedPoints.add(new double[] {secondAndUnits[0], totalUnits});
        planPoints.add(new double[] {secondAndUnits[0],
            customer.burst() + customer.rate() * (secondAndUnits[0] - firstSecond + 1)});
      }
      html.append(plot(
          String.format(Locale.ROOT, "customer %d: units charged in all, beyond plan at worst %.0f",
              customer.id(), customer.beyond()),
          "s", List.of(chargedPoints, planPoints), List.of("charged", "plan"),
          List.of("#36c", "#999")));
    }
    html.append("<h2>Figures</h2>").append(table(run, baseline));
    html.append("</body></html>\n");
    return html.toString();
  }

  /**
   * Returns the time line of the faults, with one row for each node, followed by a list of the
   * faults and of the property violations.
   */
  static String timeLine(RunResult run) {
    int top = 20;
    int height = top + ROW_PX * run.nodes() + 24;
    double pxPerS = (WIDTH_PX - MARGIN_PX - RIGHT_MARGIN_PX) / Math.max(1, run.seconds());
    StringBuilder html = new StringBuilder(
        "<h2>Time line</h2><svg xmlns=\"http://www.w3.org/2000/svg\" width=\"").append(WIDTH_PX)
        .append("\" height=\"").append(height).append("\">");
    for (int node = 0; node < run.nodes(); node++) {
      html.append(String.format(Locale.ROOT,
          "<text x=\"4\" y=\"%d\" font-size=\"11\">n%d</text>"
              + "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#ddd\"/>",
          top + ROW_PX * node + 13, node, MARGIN_PX, top + ROW_PX * node + ROW_PX,
          WIDTH_PX - RIGHT_MARGIN_PX, top + ROW_PX * node + ROW_PX));
    }
    for (int second = 0; second <= run.seconds(); second += Math.max(1,
        (int) (run.seconds() / 12))) {
      html.append(
          String.format(Locale.ROOT, "<text x=\"%.0f\" y=\"%d\" font-size=\"10\">%d s</text>",
              MARGIN_PX + second * pxPerS, height - 8, second));
    }
    for (RunResult.Fault fault : run.faults()) {
      String colour = fault.what().startsWith("kill") || fault.what().startsWith("term") ? "#c33"
          : fault.what().startsWith("pause") ? "#c93" : "#69c";
      for (String node : fault.nodes()) {
        int firstRow = node.equals("all") ? 0 : Integer.parseInt(node.substring(1));
        int rows = node.equals("all") ? run.nodes() : 1;
        html.append(String.format(Locale.ROOT,
            "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\""
                + " fill-opacity=\"0.6\"><title>%s, %s s to %s s</title></rect>",
            MARGIN_PX + fault.fromS() * pxPerS, top + ROW_PX * firstRow + 2,
            Math.max(2, (fault.untilS() - fault.fromS()) * pxPerS), ROW_PX * rows - 4, colour,
            escape(fault.what()), format(fault.fromS()), format(fault.untilS())));
      }
    }
    html.append(
        "</svg><p>Red: killed or ended, until started again; ochre: stopped; blue: links and app servers.</p><ul>");
    for (RunResult.Fault fault : run.faults()) {
      html.append("<li>").append(format(fault.fromS())).append(" s to ")
          .append(format(fault.untilS())).append(" s: ").append(escape(fault.what())).append(" ")
          .append(escape(String.join(", ", fault.nodes())))
          .append("; the worst customer's units beyond its quota grew by ")
          .append(format(fault.beyondUnits())).append("</li>");
    }
    if (run.members() != null)
      html.append("<li>membership: ").append(escape(run.members().toString())).append("</li>");
    html.append("</ul><p>Survivors' passed share back at nine tenths after ")
        .append(run.recoveryS() < 0 ? "the run's end" : format(run.recoveryS()) + " s")
        .append("; relays' own delay ").append(escape(String.valueOf(run.relayDelayUs())))
        .append(" µs.</p>");
    if (!run.violations().isEmpty()) {
      html.append("<h3 class=\"bad\">What broke</h3><ul>");
      for (String violation : run.violations())
        html.append("<li>").append(escape(violation)).append("</li>");
      html.append("</ul>");
    }
    return html.toString();
  }

  /** Returns the metrics by which runs are compared, in the order of the table. */
  public static Map<String, Double> metrics(RunResult run) {
    Map<String, Double> metrics = new java.util.LinkedHashMap<>();
    metrics.put("offered", (double) run.offered());
    metrics.put("tries", (double) run.tries());
    for (Outcome outcome : Outcome.values())
      metrics.put(outcome.name().toLowerCase(Locale.ROOT), (double) run.outcomes().get(outcome));
    metrics.put("denied with room", (double) run.deniedWithRoom());
    for (var percentile : run.latencyUs().entrySet())
      metrics.put(percentile.getKey() + " ms", percentile.getValue() / 1000.0);
    metrics.put("sender late p99 ms", run.senderLateUs().get("p99") / 1000.0);
    if (run.truth() != null) {
      metrics.put("double charges", (double) run.truth().doubleCharges());
      metrics.put("repeated non-replayable", (double) run.truth().repeatedNonReplayable());
      metrics.put("units beyond plan", run.truth().unitsBeyondPlan());
      metrics.put("units charged", (double) run.truth().unitsCharged());
    }
    metrics.put("cpu s", run.process().cpuSeconds());
    metrics
        .put("node loop cpu s, most",
            run.nodeCounters().stream()
                .mapToLong(counters -> counters.getOrDefault("loop_cpu_ms", 0L)).max().orElse(0)
                / 1000.0);
    metrics.put("rss MB", run.process().rssMb());
    return metrics;
  }

  private static String table(RunResult run, RunResult baseline) {
    StringBuilder html = new StringBuilder("<table><tr><th>figure</th><th>this run</th>");
    if (baseline != null) html.append("<th>baseline</th><th>ratio</th>");
    html.append("</tr>");
    Map<String, Double> current = metrics(run);
    Map<String, Double> baselineMetrics = baseline == null ? Map.of() : metrics(baseline);
    for (var metric : current.entrySet()) {
      html.append("<tr><td style=\"text-align:left\">").append(escape(metric.getKey()))
          .append("</td><td>").append(format(metric.getValue())).append("</td>");
      if (baseline != null) {
        Double baselineValue = baselineMetrics.get(metric.getKey());
        html.append("<td>").append(baselineValue == null ? "" : format(baselineValue))
            .append("</td><td>").append(baselineValue == null || baselineValue == 0 ? ""
                : format(metric.getValue() / baselineValue))
            .append("</td>");
      }
      html.append("</tr>");
    }
    return html.append("</table>").toString();
  }

  /** Returns a line plot of several series of (x, y) points on shared axes, with a legend. */
  static String plot(String title, String xUnit, List<List<double[]>> series, List<String> names,
      List<String> colours) {
    double maxX = 1;
    double maxY = 1;
    for (List<double[]> points : series) {
      for (double[] point : points) {
        maxX = Math.max(maxX, point[0]);
        maxY = Math.max(maxY, point[1]);
      }
    }
    maxY = roundUpForAxis(maxY);
    StringBuilder html = new StringBuilder();
    html.append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"").append(WIDTH_PX)
        .append("\" height=\"").append(HEIGHT_PX).append("\"><text x=\"").append(MARGIN_PX)
        .append("\" y=\"16\" font-size=\"13\">").append(escape(title)).append("</text>");
    int left = MARGIN_PX;
    int bottom = HEIGHT_PX - 24;
    int right = WIDTH_PX - RIGHT_MARGIN_PX;
    int top = 26;
    html.append(String.format(Locale.ROOT,
        "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#333\"/>", left, bottom, right,
        bottom));
    html.append(String.format(Locale.ROOT,
        "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#333\"/>", left, bottom, left,
        top));
    for (int i = 0; i <= 4; i++) {
      double value = maxY * i / 4;
      double y = bottom - (bottom - top) * i / 4.0;
      html.append(String.format(Locale.ROOT, "<text x=\"2\" y=\"%.1f\" font-size=\"10\">%s</text>",
          y + 3, format(value)));
      html.append(String.format(Locale.ROOT,
          "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#ddd\"/>", left, y, right,
          y));
    }
    html.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\" font-size=\"10\">%s %s</text>",
        right - 50, HEIGHT_PX - 6, format(maxX), xUnit));
    for (int index = 0; index < series.size(); index++) {
      StringBuilder svgPoints = new StringBuilder();
      for (double[] point : series.get(index)) {
        svgPoints.append(String.format(Locale.ROOT, "%.1f,%.1f ",
            left + (right - left) * point[0] / maxX, bottom - (bottom - top) * point[1] / maxY));
      }
      html.append("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"")
          .append(colours.get(index)).append("\" points=\"").append(svgPoints).append("\"/>");
      html.append(String.format(Locale.ROOT,
          "<text x=\"%d\" y=\"%d\" font-size=\"11\" fill=\"%s\">%s</text>", left + 10 + 110 * index,
          top + 12, colours.get(index), escape(names.get(index))));
    }
    return html.append("</svg>").toString();
  }

  /** Rounds up to 1, 2, 5 or 10 times a power of ten. */
  private static double roundUpForAxis(double value) {
    double step = Math.pow(10, Math.floor(Math.log10(value)));
    for (double multiple : new double[] {1, 2, 5, 10})
      if (multiple * step >= value) return multiple * step;
    return 10 * step;
  }

  static String format(double value) {
    if (value == Math.rint(value) && Math.abs(value) < 1e12) return String.valueOf((long) value);
    return String.format(Locale.ROOT,
        Math.abs(value) >= 100 ? "%.0f" : Math.abs(value) >= 1 ? "%.2f" : "%.3f", value);
  }

  static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"",
        "&quot;");
  }
}
