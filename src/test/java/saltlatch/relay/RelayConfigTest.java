package saltlatch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;
import saltlatch.cli.RootCommand;
import saltlatch.distribution.RelayLimits;
import saltlatch.relay.RelayConfig.InvalidConfigException;

/** Checks that configurations are parsed completely, and that errors name the invalid key. */
class RelayConfigTest {
  private static final String VALID = "{'name':'r0','listen':'127.0.0.1:7000','upstreams':['127.0.0.1:7001','127.0.0.1:7002'],"
      + "'limits':{'watchers':5,'entries':6,'log_changes':7,'snapshot_bytes_per_second':8},'seed':9}";

  private static RelayConfig parse(String text) throws InvalidConfigException {
    return RelayConfig.parse(text.replace('\'', '"'));
  }

  @Test
  void parsesEveryKeyAndDefaultLimits() throws Exception {
    RelayConfig config = parse(VALID);
    assertEquals("r0", config.name());
    assertEquals(7000, config.listen().port());
    assertEquals(2, config.upstreams().size());
    assertEquals(new RelayLimits(5, 6, 7, 8), config.limits());
    assertEquals(9, config.seed());
    assertEquals(65_536,
        parse("{'listen':'127.0.0.1:0','upstreams':['127.0.0.1:1']}").limits().entries());
  }

  @ParameterizedTest
  @CsvSource(quoteCharacter = '`', value = {"`'listen':'127.0.0.1:7000',`,``,listen",
      "127.0.0.1:7000,nowhere,listen", "127.0.0.1:7000,127.0.0.1:70000,listen",
      "`'127.0.0.1:7001','127.0.0.1:7002'`,``,upstreams",
      "127.0.0.1:7002,127.0.0.1:7001,upstreams[1]", "'127.0.0.1:7002',7,upstreams[1]",
      "127.0.0.1:7002,127.0.0.1:0,upstreams[1]", "'watchers':5,'watchers':0,limits.watchers",
      "'entries':6,'entries':6.5,limits.entries", "'entries':6,'entries':'6',limits.entries",
      "log_changes,log_change,limits.log_change is unknown",
      "'snapshot_bytes_per_second':8,'snapshot_bytes_per_second':1e99,limits.snapshot_bytes_per_second",
      "'seed':9,'seed':true,seed", "'name':'r0','name':{},name",
      "upstreams,upstream,upstream is unknown", "'limits':{,'limits':[{,not valid JSON",
      "'seed':9},'seed':9,not valid JSON"})
  void errorNamesTheInvalidKeyOnOneLine(String part, String replacement, String expected) {
    assertTrue(VALID.contains(part), part);
    InvalidConfigException e = assertThrows(InvalidConfigException.class,
        () -> parse(VALID.replace(part, replacement)));
    assertTrue(e.getMessage().contains(expected), e.getMessage());
    assertEquals(1, e.getMessage().lines().count(), e.getMessage());
  }

  /** The command ends with the exit code of each error and prints a line that names its cause. */
  @Test
  void commandEndsWithTheExitCodeOfEachError(@TempDir Path dir) throws Exception {
    assertEquals(2, run(dir.resolve("none.json"), "none.json"));
    Path bad = Files.writeString(dir.resolve("bad.json"),
        VALID.replace('\'', '"').replace(":5,", ":-5,"));
    assertEquals(2, run(bad, "limits.watchers"));
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Path portTaken = Files.writeString(dir.resolve("taken.json"),
          VALID.replace('\'', '"').replace("127.0.0.1:7000", "127.0.0.1:" + taken.getLocalPort()));
      assertEquals(3, run(portTaken, "can't listen on 127.0.0.1:" + taken.getLocalPort()));
    }
  }

  private static int run(Path config, String expected) {
    PrintStream originalErr = System.err;
    ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
    System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
    try {
      int code = new CommandLine(new RootCommand()).execute("relay", config.toString());
      String printed = capturedErr.toString(StandardCharsets.UTF_8).lines()
          .filter(line -> line.startsWith("saltlatch relay:")).reduce("", String::concat);
      assertTrue(printed.contains(expected), printed);
      return code;
    } finally {
      System.setErr(originalErr);
    }
  }
}
