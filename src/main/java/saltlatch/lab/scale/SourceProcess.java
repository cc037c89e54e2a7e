package saltlatch.lab.scale;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltlatch.lab.rig.ChildJvm;

/** {@code lab scale source} as a child process. */
public final class SourceProcess implements AutoCloseable {
  private final ChildJvm process;
  private final String address;
  private final Path puts;
  private final HttpClient http = HttpClient.newHttpClient();

  /** What it has sent by now, {@code bytesOut} without the answers to this question. */
  public record Sent(long index, int watchers, long behind, long snapshots, long changeLines,
      long emptyLines, long bytesOut) {
    /** Whole lists, lines of changes and empty lines. */
    public long messages() {
      return snapshots + changeLines + emptyLines;
    }
  }

  SourceProcess(TestEnvironment environment, long entries)
      throws IOException, InterruptedException {
    Files.createDirectories(environment.dir());
    puts = environment.dir().resolve("puts.jsonl");
    process = new ChildJvm(
        TestEnvironment.SOURCE_FLAGS, environment.tools(), List.of("lab", "scale", "source",
            "--entries", "" + entries, "--listen", "127.0.0.1:0", "--puts", puts.toString()),
        environment.dir().resolve("source.log"));
    address = process.await("source of " + entries + " entries on ");
  }

  /** {@code HOST:PORT}. */
  public String address() {
    return address;
  }

  public long pid() {
    return process.pid();
  }

  /** Sets how many changes come a second from now on. */
  public void rate(double perSecond) throws IOException, InterruptedException {
    http.send(HttpRequest.newBuilder(uri("/lab/rate?per_second=" + perSecond))
        .POST(HttpRequest.BodyPublishers.noBody()).build(), BodyHandlers.discarding());
  }

  public Sent sent() throws IOException, InterruptedException {
    JsonObject told = JsonParser.parseString(http
        .send(HttpRequest.newBuilder(uri("/lab/figures")).build(), BodyHandlers.ofString()).body())
        .getAsJsonObject();
    return new Sent(told.get("index").getAsLong(), told.get("watchers").getAsInt(),
        told.get("behind").getAsLong(), told.get("snapshots").getAsLong(),
        told.get("change_lines").getAsLong(), told.get("empty_lines").getAsLong(),
        told.get("bytes_out").getAsLong());
  }

  /** When each index was put, by {@link System#nanoTime}. */
  public Map<Long, Long> puts() throws IOException {
    Map<Long, Long> times = new TreeMap<>();
    for (String line : Files.readAllLines(puts)) {
      JsonObject put = JsonParser.parseString(line).getAsJsonObject();
      times.put(put.get("index").getAsLong(), put.get("put_ns").getAsLong());
    }
    return times;
  }

  private URI uri(String path) {
    return URI.create("http://" + address + path);
  }

  @Override
  public void close() {
    process.close();
  }
}
