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

/** Runs {@code lab scale source}, the simulated discovery server, as a child process. */
public final class SourceProcess implements AutoCloseable {
  private final ChildJvm process;
  private final String address;
  private final Path puts;
  private final HttpClient http = HttpClient.newHttpClient();

  /**
   * Totals that the source has sent so far; {@code bytesOut} excludes the laboratory's requests.
   */
  public record Sent(long index, int watchers, long behind, long snapshots, long changeLines,
      long emptyLines, long bytesOut) {
    /** Returns the number of complete lists, change lines and empty lines. */
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

  /** Returns the address as {@code HOST:PORT}. */
  public String address() {
    return address;
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Sets the number of changes a second. */
  public void rate(double perSecond) throws IOException, InterruptedException {
    http.send(HttpRequest.newBuilder(uri("/lab/rate?per_second=" + perSecond))
        .POST(HttpRequest.BodyPublishers.noBody()).build(), BodyHandlers.discarding());
  }

  /** Returns the totals that the source has sent so far. */
  public Sent sent() throws IOException, InterruptedException {
    JsonObject figures = JsonParser.parseString(http
        .send(HttpRequest.newBuilder(uri("/lab/figures")).build(), BodyHandlers.ofString()).body())
        .getAsJsonObject();
    return new Sent(figures.get("index").getAsLong(), figures.get("watchers").getAsInt(),
        figures.get("behind").getAsLong(), figures.get("snapshots").getAsLong(),
        figures.get("change_lines").getAsLong(), figures.get("empty_lines").getAsLong(),
        figures.get("bytes_out").getAsLong());
  }

  /** Returns the time of the change to each index, as a reading of {@link System#nanoTime}. */
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
