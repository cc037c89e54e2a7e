package saltlatch.lab.emulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntBinaryOperator;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.scenario.Scenario;
import saltlatch.lab.scenario.Scenario.Fault;

/**
 * Stand-in discovery agent on HTTP/1.1: {@code GET /api/targets} gives the whole list;
 * {@code ?follow=1&since=N} a chunked watch of one JSON object a line, an empty line every 2 s
 * while nothing changes. An app server with a {@code cold_start} fault joins the list at its
 * {@code at_s} with {@code since_ms} then. Faults: {@code late} (news told {@code extra_ms} after
 * it happened), {@code stale} (while it holds, the list as it was when it began, and no news).
 */
public final class DiscoveryStub {
  // an empty line this often on a quiet watch, as the protocol page says
  static final long KEEP_ALIVE_MS = 2_000;
  private static final long LOOK_MS = 50;

  private final Vertx vertx;
  private final LabClock clock;
  private final Scenario s;
  // and whose they are
  private final Map<HttpServerResponse, Integer> watches = new LinkedHashMap<>();
  private final List<HttpServer> https = new ArrayList<>();
  private final IntBinaryOperator reach; // the port at which a node reaches an app server
  private int index = 1;
  private List<Boolean> told; // which servers the list holds now, as told
  private long fetches;

  DiscoveryStub(Vertx vertx, LabClock clock, Scenario s, IntBinaryOperator reach) {
    this.vertx = vertx;
    this.clock = clock;
    this.s = s;
    this.reach = reach;
    told = present(0);
  }

  Future<Void> start() {
    List<Future<HttpServer>> all = new ArrayList<>();
    for (int i = 0; i < s.nodes(); i++) {
      int node = i;
      HttpServer http = vertx
          .createHttpServer(new HttpServerOptions().setHost("127.0.0.1").setPort(0));
      http.requestHandler(req -> request(req, node));
      https.add(http);
      all.add(http.listen());
    }
    vertx.setPeriodic(LOOK_MS, t -> look());
    vertx.setPeriodic(KEEP_ALIVE_MS, t -> {
      for (HttpServerResponse r : List.copyOf(watches.keySet())) r.write("\n");
    });
    return Future.all(all).mapEmpty();
  }

  /** The address of a node's own agent. */
  int port(int node) {
    return https.get(node).actualPort();
  }

  long fetches() {
    return fetches;
  }

  /** The list that nodes are given at start, as JSON: what is present at time 0. */
  JsonObject known(int node) {
    return list(told, null, true, node);
  }

  /** Which servers are in the list at {@code ms}: all but those whose cold start is still ahead. */
  List<Boolean> present(double ms) {
    List<Boolean> out = new ArrayList<>();
    for (int i = 0; i < s.servers().count(); i++) {
      boolean in = true;
      for (Fault f : s.servers().faults())
        if (f.kind().equals("cold_start") && f.touches(i) && ms < f.atS() * 1000) in = false;
      out.add(in);
    }
    return out;
  }

  private double lateBy(double ms) {
    double late = 0;
    for (Fault f : s.discovery().faults())
      if (f.kind().equals("late") && f.holds(ms)) late = Math.max(late, f.extraMs());
    return late;
  }

  private void look() {
    double now = clock.nowMs();
    if (Fault.anyHolds(s.discovery().faults(), "stale", now)) return;
    List<Boolean> truthNow = present(Math.max(0, now - lateBy(now)));
    if (truthNow.equals(told)) return;
    List<Boolean> before = told;
    told = truthNow;
    index++;
    Map.copyOf(watches).forEach((r, node) -> r.write(list(told, before, false, node) + "\n"));
  }

  private JsonObject list(List<Boolean> now, List<Boolean> before, boolean snapshot, int node) {
    JsonObject o = new JsonObject();
    o.addProperty("index", index);
    o.addProperty("snapshot", snapshot);
    JsonArray eps = new JsonArray();
    for (int i = 0; i < now.size(); i++) {
      if (before != null && before.get(i).equals(now.get(i))) continue;
      if (before == null && !now.get(i)) continue;
      JsonObject e = new JsonObject();
      e.addProperty("name", "s-" + i);
      e.addProperty("address", "127.0.0.1:" + reach.applyAsInt(node, i));
      e.addProperty("zone", "a");
      e.addProperty("type", "m");
      e.addProperty("group", 0);
      e.addProperty("status", now.get(i) ? "Ready" : "Gone");
      e.addProperty("weight", 1.0);
      e.addProperty("since_ms", sinceMs(i));
      eps.add(e);
    }
    o.add("endpoints", eps);
    return o;
  }

  private long sinceMs(int i) {
    for (Fault f : s.servers().faults()) {
      if (f.kind().equals("cold_start") && f.touches(i) && f.atS() > 0)
        return clock.epochMs(f.atS() * 1000);
    }
    return 0;
  }

  private void request(HttpServerRequest req, int node) {
    fetches++;
    HttpServerResponse r = req.response();
    if (!req.path().equals("/api/targets")) {
      r.setStatusCode(404).end();
      return;
    }
    r.putHeader("content-type", "application/json");
    if (!"1".equals(req.getParam("follow"))) {
      r.end(list(told, null, true, node).toString());
      return;
    }
    r.setChunked(true);
    r.write(list(told, null, true, node) + "\n");
    watches.put(r, node);
    r.closeHandler(v -> watches.remove(r));
    req.connection().closeHandler(v -> watches.remove(r));
  }
}
