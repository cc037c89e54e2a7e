package saltlatch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saltlatch.distribution.Entry;
import saltlatch.distribution.Update;
import saltlatch.distribution.Version;

class WatchParserTest {
  private static final String STRANGE = "{\"name\":\"s-\\\"}{ é\",\"status\":\"Ready\","
      + "\"later\":[{\"endpoints\":[1]},\"]}\"],\"weight\":1.50}";

  private final List<Update> told = new ArrayList<>();
  private int keptAlive;
  private final WatchParser parser = new WatchParser(10, new WatchParser.Listener() {
    @Override
    public void updateReceived(Update update) {
      told.add(update);
    }

    @Override
    public void keptAlive() {
      keptAlive++;
    }
  });

  private void feed(String text, int piece) throws MalformedWatchException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < bytes.length; i += piece) {
      parser.feed(Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + piece)));
    }
  }

  private static String line(String entries) {
    return "{\"index\":7,\"snapshot\":true,\"endpoints\":[" + entries + "]}\n";
  }

  /** Wherever the stream is cut, entries are the very text that came. */
  @Test
  void anyPieces() throws Exception {
    String gone = "{\"status\":\"Gone\", \"name\":\"s-2\"}";
    String indented = line(STRANGE + " ,\n  " + gone.replace(' ', '\n'))
        .replace(",\"snapshot\"", ",\n  \"snapshot\" ").replace(":[{\"name\"", " :\n [{\"name\"");
    String later = "{\"endpoints\":[],\"snapshot\":false,\"x\":\"endpoints\",\"y\":[{\"endpoints\":[{}]}],"
        + "\"series\":9,\"index\":8}\n";
    List<Update> expected = List.of(
        new Update(new Version(0, 7), true,
            List.of(new Entry("s-\"}{ é", false, STRANGE), new Entry("s-2", true, gone))),
        new Update(new Version(9, 8), false, List.of()));
    for (int piece = 1; piece < 20; piece++) {
      told.clear();
      feed(indented + "\n \n" + later, piece);
      assertEquals(expected, told, "pieces of " + piece);
    }
    assertEquals(19 * 4, keptAlive); // what ends a line is an empty one, too: the watch is alive
  }

  @ParameterizedTest
  @ValueSource(strings = {"all is well\n", "[]\n", "{}\n", "{\"index\":1,\"snapshot\":true}\n",
      "{\"index\":-1,\"snapshot\":true,\"endpoints\":[]}\n",
      "{\"index\":1.5,\"snapshot\":true,\"endpoints\":[]}\n",
      "{\"index\":99999999999999999999,\"snapshot\":true,\"endpoints\":[]}\n",
      "{\"index\":1,\"snapshot\":\"true\",\"endpoints\":[]}\n",
      "{\"index\":1,\"snapshot\":true,\"endpoints\":[1]}\n",
      "{\"index\":1,\"snapshot\":true,\"endpoints\":[,]}\n",
      "{\"index\":1 2,\"snapshot\":true,\"endpoints\":[]}\n",
      "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"status\":\"Ready\"}{}]}\n",
      "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"status\":\"Ready\"},]}\n",
      "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\"}]}\n",
      "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"\",\"status\":\"Ready\"}]}\n",
      "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":[],\"status\":\"Ready\"}]}\n",
      "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"status\":\"Ready\",\"w\":x}]}\n",
      "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"a\",\"status\":\"Ready\"]}}\n"})
  void malformed(String line) {
    assertThrows(MalformedWatchException.class, () -> feed(line, 3));
    assertEquals(List.of(), told);
  }

  /**
   * Each bound holds from the first byte beyond it, long before the line's end, which never comes.
   */
  @Test
  void endless() {
    String entry = "{\"name\":\"a\",\"status\":\"Ready\"},";
    assertBeyond("{\"index\":1,\"snapshot\":true,\"endpoints\":[", entry, 11 * entry.length(),
        "10 entries");
    assertBeyond("{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"", "a",
        WatchParser.MAX_ENTRY_BYTES, "an entry of");
    assertBeyond("{\"index\":1,\"x\":\"", "a", WatchParser.MAX_ENVELOPE_BYTES,
        "beside the entries");
    assertBeyond("{", " ", WatchParser.MAX_ENVELOPE_BYTES + 10 * WatchParser.MAX_MEAN_ENTRY_BYTES,
        "bytes");
  }

  private void assertBeyond(String head, String repeated, int bound, String cause) {
    WatchParser fresh = new WatchParser(10, new WatchParser.Listener() {
      @Override
      public void updateReceived(Update update) {
        told.add(update);
      }

      @Override
      public void keptAlive() {}
    });
    long[] fed = {0};
    MalformedWatchException e = assertThrows(MalformedWatchException.class, () -> {
      fresh.feed(head.getBytes(StandardCharsets.UTF_8));
      for (; fed[0] < 9L * bound; fed[0] += repeated.length())
        fresh.feed(repeated.getBytes(StandardCharsets.UTF_8));
    });
    assertTrue(e.getMessage().contains(cause), e.getMessage());
    assertTrue(fed[0] <= bound, fed[0] + " bytes were taken");
  }
}
