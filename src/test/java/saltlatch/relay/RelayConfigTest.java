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

class RelayConfigTest {
  private static final String GOOD = "{'name':'r0','listen':'127.0.0.1:7000','upstreams':['127.0.0.1:7001','127.0.0.1:7002'],"
      + "'limits':{'watchers':5,'entries':6,'log_changes':7,'snapshot_bytes_per_second':8},'seed':9}";

  private static RelayConfig parse(String text) throws InvalidConfigException {
    return RelayConfig.parse(text.replace('\'', '"'));
  }

  @Test
  void readsAll() throws Exception {
    RelayConfig config = parse(GOOD);
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
      "upstreams,upstream,upstream is unknown", "'limits':{,'limits':[{,no JSON",
      "'seed':9},'seed':9,no JSON"})
  void namesTheKey(String part, String replacement, String named) {
    assertTrue(GOOD.contains(part), part);
    InvalidConfigException e = assertThrows(InvalidConfigException.class,
        () -> parse(GOOD.replace(part, replacement)));
    assertTrue(e.getMessage().contains(named), e.getMessage());
    assertEquals(1, e.getMessage().lines().count(), e.getMessage());
  }

  /** The command's codes, each with one line. */
  @Test
  void codes(@TempDir Path dir) throws Exception {
    assertEquals(2, run(dir.resolve("none.json"), "none.json"));
    Path bad = Files.writeString(dir.resolve("bad.json"),
        GOOD.replace('\'', '"').replace(":5,", ":-5,"));
    assertEquals(2, run(bad, "limits.watchers"));
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Path elsewhere = Files.writeString(dir.resolve("taken.json"),
          GOOD.replace('\'', '"').replace("127.0.0.1:7000", "127.0.0.1:" + taken.getLocalPort()));
      assertEquals(3, run(elsewhere, "can't listen on 127.0.0.1:" + taken.getLocalPort()));
    }
  }

  private static int run(Path config, String named) {
    PrintStream before = System.err;
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
    try {
      int code = new CommandLine(new RootCommand()).execute("relay", config.toString());
      String said = err.toString(StandardCharsets.UTF_8).lines()
          .filter(l -> l.startsWith("saltlatch relay:")).reduce("", String::concat);
      assertTrue(said.contains(named), said);
      return code;
    } finally {
      System.setErr(before);
    }
  }
}
