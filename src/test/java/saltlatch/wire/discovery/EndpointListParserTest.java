package saltlatch.wire.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonParseException;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.wire.FramingException;
import saltlatch.wire.LimitExceededException;
import saltlatch.wire.ProtocolException;

/**
 * Checks objects of discovery's stream: with fields in any order, split at any byte, malformed, and
 * beyond a limit.
 */
class EndpointListParserTest {
  private static final String READY_ENTRY = "{\"name\":\"ş-1\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
      + "\"type\":\"m\",\"status\":\"Ready\"}";
  private static final String GONE_ENTRY = "{\"name\":\"s-2\",\"status\":\"Gone\",\"tags\":[{\"k\":\"]}\"}]}";

  private final List<EndpointList> lists = new ArrayList<>();

  private boolean feed(EndpointListParser parser, String text) throws ProtocolException {
    return parser.feed(Buffer.buffer(text), lists::add);
  }

  private String describeLists() {
    StringBuilder text = new StringBuilder();
    for (EndpointList list : lists) {
      text.append(list.series()).append('/').append(list.index())
          .append(list.snapshot() ? " whole" : "");
      list.entries().forEach(
          entry -> text.append(' ').append(entry.name()).append(' ').append(entry.state()));
      text.append('\n');
    }
    return text.toString();
  }

  private static ProtocolException assertParsingFails(String text) {
    return assertThrows(ProtocolException.class,
        () -> new EndpointListParser().feed(Buffer.buffer(text), list -> {}), text);
  }

  /** The word {@code endpoints} in a value, or as a key of a nested object, starts no entries. */
  @Test
  void parsesFieldsInAnyOrderByteByByte() throws Exception {
    String[] texts = {
        "{\"endpoints\" : [" + READY_ENTRY + " , " + GONE_ENTRY
            + "],\"index\":7,\"snapshot\":true,\"series\":5}\n",
        "{\"index\":7,\"endpoints\":[" + READY_ENTRY + "," + GONE_ENTRY
            + "],\"snapshot\":true,\"series\":5}\n",
        "{\"note\":\"\\\"endpoints\\\":[\",\"more\":{\"endpoints\":[1,2]},\"snapshot\":true,\"index\":7,"
            + "\"series\":5,\n  \"endpoints\":[\n  " + READY_ENTRY + ",\n  " + GONE_ENTRY
            + "\n]}\n"};
    for (String text : texts) {
      EndpointListParser parser = new EndpointListParser();
      for (byte current : text.getBytes(java.nio.charset.StandardCharsets.UTF_8)) {
        parser.feed(Buffer.buffer(new byte[] {current}), lists::add);
      }
      assertTrue(feed(parser, text));
    }
    assertEquals("5/7 whole ş-1 READY s-2 REMOVED\n".repeat(6), describeLists());
  }

  @Test
  void acceptsEmptyListsAndBlankLines() throws Exception {
    EndpointListParser parser = new EndpointListParser();
    assertTrue(feed(parser, "\n"));
    assertFalse(feed(parser, " {\"index\":3,\"snapshot\":false,\"endpoints\":[]}"));
    assertTrue(feed(parser, "\r\n"));
    assertEquals("0/3\n", describeLists());
  }

  /** While a long line arrives, only a complete entry shows that the watch works. */
  @Test
  void completeEntriesAreProgress() throws Exception {
    EndpointListParser parser = new EndpointListParser();
    assertFalse(feed(parser,
        "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + READY_ENTRY.substring(0, 40)));
    assertFalse(feed(parser, READY_ENTRY.substring(40, 50)));
    assertTrue(feed(parser, READY_ENTRY.substring(50)));
    assertFalse(feed(parser, ","));
    assertTrue(feed(parser, GONE_ENTRY + "]}\n"));
    assertEquals("0/3 whole ş-1 READY s-2 REMOVED\n", describeLists());
  }

  @Test
  void recurringWordsAreInterned() throws Exception {
    feed(new EndpointListParser(), "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + READY_ENTRY
        + "," + READY_ENTRY + "]}\n");
    List<EndpointList.Entry> entries = lists.get(0).entries();
    assertSame(entries.get(0).zone(), entries.get(1).zone());
    assertSame(entries.get(0).machineType(), entries.get(1).machineType());
  }

  @Test
  void malformedObjectsAreFramingFailures() {
    String[] arrayContents = {READY_ENTRY + READY_ENTRY, READY_ENTRY + ",", "," + READY_ENTRY,
        READY_ENTRY + ",," + GONE_ENTRY, "5", "null", "\"s-1\"", "[" + READY_ENTRY + "]", "{}",
        "{\"name\":\"s-1\",\"status\":\"Asleep\"}", READY_ENTRY + "}"};
    for (String content : arrayContents) {
      String text = "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + content + "]}\n";
      assertInstanceOf(FramingException.class, assertParsingFails(text), text);
    }
    for (String text : new String[] {"{\"index\":3,\"snapshot\":true}\n",
        "{\"endpoints\":[" + READY_ENTRY + "]}\n",
        "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + READY_ENTRY + ",\n{\"index\":4}\n",
        "]\n", "[]\n"}) {
      assertInstanceOf(FramingException.class, assertParsingFails(text), text);
    }
    assertInstanceOf(FramingException.class,
        assertParsingFails("x".repeat(EndpointListParser.MAX_PART_BYTES + 1)));
  }

  /**
   * Guards against a full heap that is reported as a malformed list, because the JSON library wraps
   * the {@link OutOfMemoryError}: the list is too large for this node.
   */
  @Test
  void fullHeapIsReportedAsExceededLimit() {
    RuntimeException wrapped = new JsonParseException("Failed parsing JSON source",
        new OutOfMemoryError());
    ProtocolException fullHeap = EndpointListParser.toProtocolException(wrapped);
    assertInstanceOf(LimitExceededException.class, fullHeap);
    assertTrue(fullHeap.problem().startsWith("the heap of "), fullHeap.getMessage());
    assertInstanceOf(FramingException.class,
        EndpointListParser.toProtocolException(new JsonParseException("no number")));
  }

  /**
   * A list with the maximum number of entries is accepted. One more entry is refused with a message
   * that gives the size so far, and so is an entry that is too long.
   */
  @Test
  void entriesBeyondTheLimitsAreRefused() throws Exception {
    String head = "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + GONE_ENTRY;
    String largest = head + ("," + GONE_ENTRY).repeat(EndpointListParser.MAX_ENTRIES - 1);
    feed(new EndpointListParser(), largest + "]}\n");
    assertEquals(EndpointListParser.MAX_ENTRIES, lists.get(0).entries().size());
    ProtocolException tooMany = assertParsingFails(largest + "," + GONE_ENTRY + "]}\n");
    assertInstanceOf(LimitExceededException.class, tooMany);
    assertTrue(
        tooMany.getMessage().contains("65536 entries and " + (largest.length() + 2) + " bytes"),
        tooMany.getMessage());
    assertInstanceOf(LimitExceededException.class,
        assertParsingFails(head + ",{\"name\":\"" + "x".repeat(EndpointListParser.MAX_PART_BYTES)));
  }
}
