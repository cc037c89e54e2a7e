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

/**
 * Checks that lines are parsed however the stream is split into pieces, and that malformed lines
 * and lines beyond a limit are rejected.
 */
class WatchParserTest {
  // braces, brackets, quotes and the key of the list in places where they have no meaning
  private static final String UNUSUAL_ENTRY = "{\"name\":\"s-\\\"}{ é\",\"status\":\"Ready\","
      + "\"later\":[{\"endpoints\":[1]},\"]}\"],\"weight\":1.50}";

  private final List<Update> updates = new ArrayList<>();
  private int keptAlive;
  private final WatchParser parser = new WatchParser(10, new WatchParser.Listener() {
    @Override
    public void updateReceived(Update update) {
      updates.add(update);
    }

    @Override
    public void keptAlive() {
      keptAlive++;
    }
  });

  private void feed(String text, int pieceBytes) throws MalformedWatchException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < bytes.length; i += pieceBytes) {
      parser.feed(Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + pieceBytes)));
    }
  }

  private static String line(String entries) {
    return "{\"index\":7,\"snapshot\":true,\"endpoints\":[" + entries + "]}\n";
  }

  /** An entry's JSON is the text that was received, wherever the stream is split. */
  @Test
  void parsesLinesSplitAnywhere() throws Exception {
    String gone = "{\"status\":\"Gone\", \"name\":\"s-2\"}";
    String indented = line(UNUSUAL_ENTRY + " ,\n  " + gone.replace(' ', '\n'))
        .replace(",\"snapshot\"", ",\n  \"snapshot\" ").replace(":[{\"name\"", " :\n [{\"name\"");
    String extraKeys = "{\"endpoints\":[],\"snapshot\":false,\"x\":\"endpoints\",\"y\":[{\"endpoints\":[{}]}],"
        + "\"series\":9,\"index\":8}\n";
    List<Update> expected = List.of(
        new Update(new Version(0, 7), true,
            List.of(new Entry("s-\"}{ é", false, UNUSUAL_ENTRY), new Entry("s-2", true, gone))),
        new Update(new Version(9, 8), false, List.of()));
    for (int pieceBytes = 1; pieceBytes < 20; pieceBytes++) {
      updates.clear();
      feed(indented + "\n \n" + extraKeys, pieceBytes);
      assertEquals(expected, updates, "pieces of " + pieceBytes + " bytes");
    }
    assertEquals(19 * 4, keptAlive); // the line break after an object counts as an empty line
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
  void rejectsMalformedLines(String line) {
    assertThrows(MalformedWatchException.class, () -> feed(line, 3));
    assertEquals(List.of(), updates);
  }

  /**
   * A sender that never ends a line must not make the parser hold more than its limits allow: each
   * limit is checked at the first byte beyond it, not at the line's end.
   */
  @Test
  void rejectsEndlessLinesAtEachLimit() {
    String entry = "{\"name\":\"a\",\"status\":\"Ready\"},";
    assertRejectedAtLimit("{\"index\":1,\"snapshot\":true,\"endpoints\":[", entry,
        11 * entry.length(), "10 entries");
    assertRejectedAtLimit("{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"", "a",
        WatchParser.MAX_ENTRY_BYTES, "an entry exceeds");
    assertRejectedAtLimit("{\"index\":1,\"x\":\"", "a", WatchParser.MAX_ENVELOPE_BYTES,
        "outside its entries");
    assertRejectedAtLimit("{", " ",
        WatchParser.MAX_ENVELOPE_BYTES + 10 * WatchParser.MAX_MEAN_ENTRY_BYTES, "bytes");
  }

  private void assertRejectedAtLimit(String start, String repeated, int limit, String cause) {
    WatchParser freshParser = new WatchParser(10, new WatchParser.Listener() {
      @Override
      public void updateReceived(Update update) {
        updates.add(update);
      }

      @Override
      public void keptAlive() {}
    });
    long[] fed = {0};
    MalformedWatchException e = assertThrows(MalformedWatchException.class, () -> {
      freshParser.feed(start.getBytes(StandardCharsets.UTF_8));
      for (; fed[0] < 9L * limit; fed[0] += repeated.length())
        freshParser.feed(repeated.getBytes(StandardCharsets.UTF_8));
    });
    assertTrue(e.getMessage().contains(cause), e.getMessage());
    assertTrue(fed[0] <= limit, fed[0] + " bytes were accepted, limit " + limit);
  }
}
