package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParseException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import saltlatch.state.HeapExhaustion;

/** A full heap is reported as such, even if a library wraps the OutOfMemoryError. */
@Timeout(60)
class HeapFullTest {
  private static final int PLAN_COUNT = 40_000;

  @Test
  void fullHeapIsDistinguishedFromOtherFailures() {
    Throwable wrapped = new JsonParseException("Failed parsing JSON source",
        new OutOfMemoryError("Java heap space"));
    assertTrue(HeapExhaustion.explain(wrapped).matches("the heap of \\d+ MB is full.*"),
        HeapExhaustion.explain(wrapped));
    assertEquals("java.lang.IllegalStateException: other",
        HeapExhaustion.explain(new IllegalStateException("other")));
    assertFalse(HeapExhaustion.isCauseOf(new IllegalStateException(new RuntimeException())));
  }

  /** Quota plans that don't fit into the heap: the process prints the reason and exits with 2. */
  @Test
  void configurationThatExceedsTheHeapExitsWithCode2(@TempDir Path directory) throws Exception {
    String plan = "{\"name\":\"plan\",\"refill\":1,";
    String sample = Files.readString(Path.of("deploy/sample.json"));
    assertTrue(sample.contains(plan));
    StringBuilder plans = new StringBuilder();
    for (int i = 0; i < PLAN_COUNT; i++) {
      plans.append(plan.replace("plan", "plan-" + i))
          .append("\"peakUnits\":6,\"pays\":1,\"capRate\":0,\"hardBurst\":0,\"parallel\":0},");
    }
    Path config = Files.writeString(directory.resolve("config.json"),
        sample.replace(plan, plans + plan));
    Path log = directory.resolve("log.txt");
    ProcessBuilder command = new ProcessBuilder(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx24m",
        "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"), "saltlatch.Main",
        "serve");
    command.environment().put("LB_CONFIG", config.toString());
    Process process = command.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    String output = Files.readString(log);
    assertEquals(2, process.exitValue(), output);
    assertTrue(output.contains("config.json: the heap of 2"), output);
    assertTrue(output.contains(" MB is full"), output);
  }
}
