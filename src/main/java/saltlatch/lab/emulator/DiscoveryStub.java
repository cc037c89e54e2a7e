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
 * An emulated discovery agent on HTTP/1.1. {@code GET /api/targets} returns the complete endpoint
 * list. With {@code ?follow=1&since=N} the answer is a chunked watch of one JSON object per line,
 * with an empty line every 2 s. An app server with a {@code cold_start} fault is added to the list
 * at its {@code at_s}, and its {@code since_ms} is that time. The faults are {@code late} (changes
 * are published {@code extra_ms} after they happened) and {@code stale} (while it is active, the
 * list stays as it was at its beginning, and no changes are published).
 */
public final class DiscoveryStub {
  // Interval of empty lines on a watch, as the protocol documentation says.
  static final long KEEP_ALIVE_MS = 2_000;
  private static final long UPDATE_CHECK_MS = 50;

  private final Vertx vertx;
  private final LabClock clock;
  private final Scenario scenario;
  private final Map<HttpServerResponse, Integer> watches = new LinkedHashMap<>(); // by node
  private final List<HttpServer> listeners = new ArrayList<>();
  // (node, app server) -> the port at which the node reaches the app server
  private final IntBinaryOperator serverPort;
  private int index = 1;
  private List<Boolean> published; // for each app server, whether the published list contains it
  private long fetches;

  DiscoveryStub(Vertx vertx, LabClock clock, Scenario scenario, IntBinaryOperator serverPort) {
    this.vertx = vertx;
    this.clock = clock;
    this.scenario = scenario;
    this.serverPort = serverPort;
    published = present(0);
  }

  /** Listens on one loopback port per node; completes when all ports are open. */
  Future<Void> start() {
    List<Future<HttpServer>> listening = new ArrayList<>();
    for (int i = 0; i < scenario.nodes(); i++) {
      int node = i;
      HttpServer listener = vertx
          .createHttpServer(new HttpServerOptions().setHost("127.0.0.1").setPort(0));
      listener.requestHandler(request -> handle(request, node));
      listeners.add(listener);
      listening.add(listener.listen());
    }
    vertx.setPeriodic(UPDATE_CHECK_MS, timer -> publishChanges());
    vertx.setPeriodic(KEEP_ALIVE_MS, timer -> {
      for (HttpServerResponse watch : List.copyOf(watches.keySet())) watch.write("\n");
    });
    return Future.all(listening).mapEmpty();
  }

  /** Returns the port of the node's discovery agent. */
  int port(int node) {
    return listeners.get(node).actualPort();
  }

  /** Returns the number of HTTP requests received. */
  long fetches() {
    return fetches;
  }

  /**
   * Returns the endpoint list for a node's start-up configuration as JSON: the app servers that are
   * present at time 0.
   */
  JsonObject known(int node) {
    return list(published, null, true, node);
  }

  /**
   * Returns for each app server whether it is present at {@code ms}: all are, except those whose
   * cold start is later.
   */
  List<Boolean> present(double ms) {
    List<Boolean> presence = new ArrayList<>();
    for (int i = 0; i < scenario.servers().count(); i++) {
      boolean present = true;
      for (Fault fault : scenario.servers().faults()) {
        if (fault.kind().equals("cold_start") && fault.touches(i) && ms < fault.atS() * 1000)
          present = false;
      }
      presence.add(present);
    }
    return presence;
  }

  private double publicationDelayMs(double nowMs) {
    double delayMs = 0;
    for (Fault fault : scenario.discovery().faults()) {
      if (fault.kind().equals("late") && fault.holds(nowMs))
        delayMs = Math.max(delayMs, fault.extraMs());
    }
    return delayMs;
  }

  private void publishChanges() {
    double nowMs = clock.nowMs();
    if (Fault.anyHolds(scenario.discovery().faults(), "stale", nowMs)) return;
    List<Boolean> current = present(Math.max(0, nowMs - publicationDelayMs(nowMs)));
    if (current.equals(published)) return;
    List<Boolean> previous = published;
    published = current;
    index++;
    Map.copyOf(watches)
        .forEach((watch, node) -> watch.write(list(published, previous, false, node) + "\n"));
  }

  /**
   * Returns the list as JSON for one node. If {@code previous} is null, it has all present app
   * servers, else only those whose presence changed.
   */
  private JsonObject list(List<Boolean> current, List<Boolean> previous, boolean snapshot,
      int node) {
    JsonObject list = new JsonObject();
    list.addProperty("index", index);
    list.addProperty("snapshot", snapshot);
    JsonArray endpoints = new JsonArray();
    for (int i = 0; i < current.size(); i++) {
      if (previous != null && previous.get(i).equals(current.get(i))) continue;
      if (previous == null && !current.get(i)) continue;
      JsonObject endpoint = new JsonObject();
      endpoint.addProperty("name", "s-" + i);
      endpoint.addProperty("address", "127.0.0.1:" + serverPort.applyAsInt(node, i));
      endpoint.addProperty("zone", "a");
      endpoint.addProperty("type", "m");
      endpoint.addProperty("group", 0);
      endpoint.addProperty("status", current.get(i) ? "Ready" : "Gone");
      endpoint.addProperty("weight", 1.0);
      endpoint.addProperty("since_ms", sinceMs(i));
      endpoints.add(endpoint);
    }
    list.add("endpoints", endpoints);
    return list;
  }

  /** Returns the Unix time in ms at which the app server started, or 0 before the run began. */
  private long sinceMs(int server) {
    for (Fault fault : scenario.servers().faults()) {
      if (fault.kind().equals("cold_start") && fault.touches(server) && fault.atS() > 0)
        return clock.epochMs(fault.atS() * 1000);
    }
    return 0;
  }

  private void handle(HttpServerRequest request, int node) {
    fetches++;
    HttpServerResponse response = request.response();
    if (!request.path().equals("/api/targets")) {
      response.setStatusCode(404).end();
      return;
    }
    response.putHeader("content-type", "application/json");
    if (!"1".equals(request.getParam("follow"))) {
      response.end(list(published, null, true, node).toString());
      return;
    }
    response.setChunked(true);
    response.write(list(published, null, true, node) + "\n");
    watches.put(response, node);
    response.closeHandler(v -> watches.remove(response));
    request.connection().closeHandler(v -> watches.remove(response));
  }
}
