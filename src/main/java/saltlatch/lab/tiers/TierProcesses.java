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
 * The source and the relays of a run as processes of the built jar, and the agent that the nodes
 * reach them by.
 */
final class TierProcesses implements AutoCloseable {
  /** One process that nodes or relays follow, and its address. */
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

  private static final String QUIET = "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn";
  // watchers that a relay may have beyond all nodes: other relays
  private static final int ROOM = 200;

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
    ChildJvm process = new ChildJvm(List.of("-Xmx" + plan.sourceHeapMb() + "m", QUIET), jar,
        List.of("lab", "scale", "source", "--entries", "" + plan.entries(), "--puts", "" + puts),
        dir.resolve("source.log"));
    source = new Server("source", process,
        process.await("source of " + plan.entries() + " entries on "));
    for (int i = 0; i < plan.upper(); i++) upper.add(relay("upper" + i, List.of(source)));
    for (int i = 0; i < plan.lower(); i++) {
      List<Server> above = new ArrayList<>(upper);
      java.util.Collections.rotate(above, i); // each upper one is the first choice of as many
      lower.add(relay("lower" + i, above));
    }
    agent = new AgentForwarder(ports(lower));
  }

  private Server relay(String name, List<Server> upstreams) throws Exception {
    String addresses = upstreams.stream().map(server -> "\"" + server.address() + "\"")
        .collect(Collectors.joining(","));
    Path config = Files.writeString(dir.resolve(name + ".json"),
        "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:0\",\"upstreams\":[" + addresses
            + "],\"limits\":{\"watchers\":" + (plan.nodes() + ROOM) + "}}");
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

  /** Kills the first lower relay, without a warning. */
  void killLower() throws InterruptedException {
    Server killed = lower.remove(0);
    ProcessHandle.of(killed.process().pid()).orElseThrow().destroyForcibly();
    killed.process().waitFor();
  }

  /** Sets the changes a second and gives the index at that instant. */
  long rate(double perSecond) throws IOException, InterruptedException {
    HttpRequest request = HttpRequest
        .newBuilder(URI.create("http://" + source.address() + "/lab/rate?per_second=" + perSecond))
        .POST(HttpRequest.BodyPublishers.noBody()).build();
    return json(http.send(request, HttpResponse.BodyHandlers.ofString()).body()).get("index")
        .getAsLong();
  }

  /** All changes so far. */
  List<Put> puts() throws IOException {
    List<Put> all = new ArrayList<>();
    for (String text : Files.readAllLines(puts)) {
      JsonObject line = json(text);
      all.add(new Put(line.get("index").getAsLong(), line.get("put_ns").getAsLong()));
    }
    return all;
  }

  /** Bytes that the source has written. */
  long sourceBytes() throws IOException, InterruptedException {
    return json(get(source, "/lab/figures")).get("bytes_out").getAsLong();
  }

  /** Bytes that a relay's watchers have taken. */
  long relayBytes(Server relay) throws IOException, InterruptedException {
    return Long.parseLong(info(relay, "bytes_out"));
  }

  String info(Server relay, String name) throws IOException, InterruptedException {
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
