package saltlatch.lab.tiers;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import saltlatch.lab.rig.AgentForwarder;
import saltlatch.lab.rig.ChildJvm;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.lab.tiers.PropagationDelay.Put;

/**
 * Runs the source and the relays of a plan as processes of the built jar, and the forwarding agent
 * through which nodes reach them.
 */
final class TierProcesses implements AutoCloseable {
  /** A process that nodes or relays follow, with its address. */
  record Server(String name, ChildJvm process, String address) {
    int port() {
      return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    long cpuMs() throws IOException {
      return ProcessMetrics.cpu(process.pid()).processMs();
    }

    long rssBytes() throws IOException {
      return ProcessMetrics.rssBytes(process.pid());
    }
  }

  private static final String LOG_WARNINGS_ONLY = "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn";
  // watchers that a relay accepts in addition to all nodes, for other relays
  private static final int WATCHERS_FOR_RELAYS = 200;

  private final TierPlan plan;
  private final Path jar;
  private final Path dir;
  private final HttpClient http = HttpClient.newHttpClient();
  private final Path puts;
  private final Server source;
  private final List<Server> upper = new ArrayList<>();
  private final List<Server> lower = new ArrayList<>();
  private final AgentForwarder agent;

  TierProcesses(TierPlan plan, Path jar, Path dir) throws Exception {
    this.plan = plan;
    this.jar = jar;
    this.dir = dir;
    Files.createDirectories(dir);
    puts = dir.resolve("puts.jsonl");
    ChildJvm process = new ChildJvm(List.of("-Xmx" + plan.sourceHeapMb() + "m", LOG_WARNINGS_ONLY),
        jar,
        List.of("lab", "scale", "source", "--entries", "" + plan.entries(), "--puts", "" + puts),
        dir.resolve("source.log"));
    source = new Server("source", process,
        process.await("source of " + plan.entries() + " entries on "));
    for (int i = 0; i < plan.upper(); i++) upper.add(relay("upper" + i, List.of(source)));
    for (int i = 0; i < plan.lower(); i++) {
      List<Server> upstreams = new ArrayList<>(upper);
      java.util.Collections.rotate(upstreams, i); // distributes first upstreams evenly
      lower.add(relay("lower" + i, upstreams));
    }
    agent = new AgentForwarder(ports(lower));
  }

  private Server relay(String name, List<Server> upstreams) throws Exception {
    String addresses = upstreams.stream().map(server -> "\"" + server.address() + "\"")
        .collect(Collectors.joining(","));
    Path config = Files.writeString(dir.resolve(name + ".json"),
        "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:0\",\"upstreams\":[" + addresses
            + "],\"limits\":{\"watchers\":" + (plan.nodes() + WATCHERS_FOR_RELAYS) + "}}");
    ChildJvm process = new ChildJvm(List.of("-Xmx" + plan.relayHeapMb() + "m"), jar,
        List.of("relay", "" + config), dir.resolve(name + ".log"));
    return new Server(name, process, process.await("relay on "));
  }

  static List<Integer> ports(List<Server> servers) {
    return servers.stream().map(Server::port).toList();
  }

  AgentForwarder agent() {
    return agent;
  }

  Server source() {
    return source;
  }

  List<Server> upper() {
    return List.copyOf(upper);
  }

  List<Server> lower() {
    return List.copyOf(lower);
  }

  /** Kills the first lower relay forcibly and removes it from the lower tier. */
  void killLower() throws InterruptedException {
    Server killed = lower.remove(0);
    ProcessHandle.of(killed.process().pid()).orElseThrow().destroyForcibly();
    killed.process().waitFor();
  }

  /** Sets the changes per second at the source and returns the index at that time. */
  long setChangeRate(double perSecond) throws IOException, InterruptedException {
    HttpRequest request = HttpRequest
        .newBuilder(URI.create("http://" + source.address() + "/lab/rate?per_second=" + perSecond))
        .POST(HttpRequest.BodyPublishers.noBody()).build();
    return json(http.send(request, HttpResponse.BodyHandlers.ofString()).body()).get("index")
        .getAsLong();
  }

  /** Returns all changes that the source has recorded. */
  List<Put> puts() throws IOException {
    List<Put> changes = new ArrayList<>();
    for (String putLine : Files.readAllLines(puts)) {
      JsonObject line = json(putLine);
      changes.add(new Put(line.get("index").getAsLong(), line.get("put_ns").getAsLong()));
    }
    return changes;
  }

  /** Returns the bytes that the source has written. */
  long sourceBytes() throws IOException, InterruptedException {
    return json(get(source, "/lab/figures")).get("bytes_out").getAsLong();
  }

  /** Returns the bytes that a relay has written to its watchers. */
  long relayBytes(Server relay) throws IOException, InterruptedException {
    return Long.parseLong(infoValue(relay, "bytes_out"));
  }

  String infoValue(Server relay, String name) throws IOException, InterruptedException {
    return get(relay, "/info").lines().filter(line -> line.startsWith(name + "=")).findFirst()
        .orElseThrow().substring(name.length() + 1);
  }

  private String get(Server server, String path) throws IOException, InterruptedException {
    HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.address() + path))
        .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private static JsonObject json(String text) {
    return JsonParser.parseString(text).getAsJsonObject();
  }

  @Override
  public void close() {
    agent.close();
    lower.forEach(server -> server.process().close());
    upper.forEach(server -> server.process().close());
    source.process().close();
  }
}
