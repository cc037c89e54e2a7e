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

/** Configurations that a node rejects at the start; the error line names the invalid key. */
@Timeout(60)
class BadConfigurationTest extends NodeHarness {
  @Test
  void rejectsInvalidConfigurations(@TempDir Path directory) throws IOException {
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    String[] keys = {"name", "seed", "listen", "discovery", "settings", "limits", "known",
        "sockets", "memory_mb", "categories", "peers", "counter", "connIdle", "aim", "refill",
        "cancelling", "effect"};
    for (String key : keys) {
      String invalid = configurationJson().replaceFirst("\"" + key + "\":",
          "\"" + key + "\":[[]],\"was\":");
      Path path = Files.writeString(directory.resolve("config.json"), invalid);
      ByteArrayOutputStream output = new ByteArrayOutputStream();
      assertEquals(2, ServeProcess.run((nowTicks, settings, policyActions) -> null, path.toString(),
          new PrintStream(output)), key);
      assertTrue(
          output.toString(StandardCharsets.UTF_8).lines().count() == 1
              && output.toString(StandardCharsets.UTF_8).contains(key),
          output.toString(StandardCharsets.UTF_8));
    }
    String[] texts = {"", "{", "{}", configurationJson().replace("1024", "100"),
        configurationJson().replace("0000000000000001", "seed"),
        configurationJson().replace("127.0.0.1:0\"", "127.0.0.1\"")};
    for (String text : texts) {
      Path path = Files.writeString(directory.resolve("config.json"), text);
      assertEquals(2, ServeProcess.run((nowTicks, settings, policyActions) -> null, path.toString(),
          new PrintStream(errors)));
    }
    assertEquals(2, ServeProcess.run((nowTicks, settings, policyActions) -> null,
        directory.resolve("none").toString(), new PrintStream(errors)));
    assertTrue(
        errors.toString(StandardCharsets.UTF_8).lines()
            .allMatch(line -> line.startsWith("saltlatch serve: configuration ")),
        errors.toString(StandardCharsets.UTF_8));
  }
}
