package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Configurations that a node does not start with, each named by its key. */
@Timeout(60)
class BadConfigurationTest extends NodeHarness {
  @Test
  void badConfiguration(@TempDir Path dir) throws IOException {
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    String[] keys = {"name", "seed", "listen", "discovery", "settings", "limits", "known",
        "sockets", "memory_mb", "categories", "peers", "counter", "connIdle", "aim", "refill",
        "cancelling", "effect"};
    for (String key : keys) {
      String wrong = configurationJson().replaceFirst("\"" + key + "\":",
          "\"" + key + "\":[[]],\"was\":");
      Path path = Files.writeString(dir.resolve("config.json"), wrong);
      ByteArrayOutputStream one = new ByteArrayOutputStream();
      assertEquals(2,
          ServeProcess.run((now, site, out) -> null, path.toString(), new PrintStream(one)), key);
      assertTrue(
          one.toString(StandardCharsets.UTF_8).lines().count() == 1
              && one.toString(StandardCharsets.UTF_8).contains(key),
          one.toString(StandardCharsets.UTF_8));
    }
    String[] texts = {"", "{", "{}", configurationJson().replace("1024", "100"),
        configurationJson().replace("0000000000000001", "seed"),
        configurationJson().replace("127.0.0.1:0\"", "127.0.0.1\"")};
    for (String text : texts) {
      Path path = Files.writeString(dir.resolve("config.json"), text);
      assertEquals(2,
          ServeProcess.run((now, site, out) -> null, path.toString(), new PrintStream(err)));
    }
    assertEquals(2, ServeProcess.run((now, site, out) -> null, dir.resolve("none").toString(),
        new PrintStream(err)));
    assertTrue(
        err.toString(StandardCharsets.UTF_8).lines()
            .allMatch(l -> l.startsWith("saltlatch serve: configuration ")),
        err.toString(StandardCharsets.UTF_8));
  }
}
