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
 * Objects of discovery's stream, in any order of their fields, cut anywhere, and those beyond a
 * bound.
 */
class EndpointListParserTest {
  private static final String ENTRY = "{\"name\":\"ş-1\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
      + "\"type\":\"m\",\"status\":\"Ready\"}";
  private static final String GONE = "{\"name\":\"s-2\",\"status\":\"Gone\",\"tags\":[{\"k\":\"]}\"}]}";

  private final List<EndpointList> lists = new ArrayList<>();

  private boolean read(EndpointListParser reader, String text) throws ProtocolException {
    return reader.feed(Buffer.buffer(text), lists::add);
  }

  private String seen() {
    StringBuilder text = new StringBuilder();
    for (EndpointList list : lists) {
      text.append(list.series()).append('/').append(list.index())
          .append(list.snapshot() ? " whole" : "");
      list.entries().forEach(t -> text.append(' ').append(t.name()).append(' ').append(t.state()));
      text.append('\n');
    }
    return text.toString();
  }

  private static ProtocolException unreadable(String text) {
    return assertThrows(ProtocolException.class,
        () -> new EndpointListParser().feed(Buffer.buffer(text), list -> {}), text);
  }

  /**
   * The key {@code endpoints} elsewhere, as a value and within another object, begins no entries.
   */
  @Test
  void anyOrderOfFields() throws Exception {
    String[] texts = {
        "{\"endpoints\" : [" + ENTRY + " , " + GONE
            + "],\"index\":7,\"snapshot\":true,\"series\":5}\n",
        "{\"index\":7,\"endpoints\":[" + ENTRY + "," + GONE + "],\"snapshot\":true,\"series\":5}\n",
        "{\"note\":\"\\\"endpoints\\\":[\",\"more\":{\"endpoints\":[1,2]},\"snapshot\":true,\"index\":7,"
            + "\"series\":5,\n  \"endpoints\":[\n  " + ENTRY + ",\n  " + GONE + "\n]}\n"};
    for (String text : texts) {
      EndpointListParser reader = new EndpointListParser();
      for (byte one : text.getBytes(java.nio.charset.StandardCharsets.UTF_8)) {
        reader.feed(Buffer.buffer(new byte[] {one}), lists::add);
      }
      assertTrue(read(reader, text));
    }
    assertEquals("5/7 whole ş-1 READY s-2 REMOVED\n".repeat(6), seen());
  }

  @Test
  void emptyListsAndBlankLines() throws Exception {
    EndpointListParser reader = new EndpointListParser();
    assertTrue(read(reader, "\n"));
    assertFalse(read(reader, " {\"index\":3,\"snapshot\":false,\"endpoints\":[]}"));
    assertTrue(read(reader, "\r\n"));
    assertEquals("0/3\n", seen());
  }

  /** What says that a watch is well while a long line comes: a whole entry, not bytes of one. */
  @Test
  void wholeEntriesAreProgress() throws Exception {
    EndpointListParser reader = new EndpointListParser();
    assertFalse(
        read(reader, "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + ENTRY.substring(0, 40)));
    assertFalse(read(reader, ENTRY.substring(40, 50)));
    assertTrue(read(reader, ENTRY.substring(50)));
    assertFalse(read(reader, ","));
    assertTrue(read(reader, GONE + "]}\n"));
    assertEquals("0/3 whole ş-1 READY s-2 REMOVED\n", seen());
  }

  @Test
  void recurringWordsAreKeptOnce() throws Exception {
    read(new EndpointListParser(),
        "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + ENTRY + "," + ENTRY + "]}\n");
    List<EndpointList.Entry> targets = lists.get(0).entries();
    assertSame(targets.get(0).zone(), targets.get(1).zone());
    assertSame(targets.get(0).machineType(), targets.get(1).machineType());
  }

  @Test
  void malformedEntriesAreNoMatterOfSize() {
    String[] within = {ENTRY + ENTRY, ENTRY + ",", "," + ENTRY, ENTRY + ",," + GONE, "5", "null",
        "\"s-1\"", "[" + ENTRY + "]", "{}", "{\"name\":\"s-1\",\"status\":\"Asleep\"}",
        ENTRY + "}"};
    for (String one : within) {
      String text = "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + one + "]}\n";
      assertInstanceOf(FramingException.class, unreadable(text), text);
    }
    for (String text : new String[] {"{\"index\":3,\"snapshot\":true}\n",
        "{\"endpoints\":[" + ENTRY + "]}\n",
        "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + ENTRY + ",\n{\"index\":4}\n", "]\n",
        "[]\n"}) {
      assertInstanceOf(FramingException.class, unreadable(text), text);
    }
    assertInstanceOf(FramingException.class,
        unreadable("x".repeat(EndpointListParser.MAX_PART_BYTES + 1)));
  }

  /**
   * The JSON library wraps the heap's end: such a list is too large for this node, not malformed.
   */
  @Test
  void fullHeapIsNoMalformedList() {
    RuntimeException wrapped = new JsonParseException("Failed parsing JSON source",
        new OutOfMemoryError());
    ProtocolException full = EndpointListParser.undecodable(wrapped);
    assertInstanceOf(LimitExceededException.class, full);
    assertTrue(full.problem().startsWith("the heap of "), full.getMessage());
    assertInstanceOf(FramingException.class,
        EndpointListParser.undecodable(new JsonParseException("no number")));
  }

  /**
   * At the bound it is read, one beyond it is refused, and so is one entry that is too long; the
   * size is told.
   */
  @Test
  void bounds() throws Exception {
    String head = "{\"index\":3,\"snapshot\":true,\"endpoints\":[" + GONE;
    String most = head + ("," + GONE).repeat(EndpointListParser.MAX_ENTRIES - 1);
    read(new EndpointListParser(), most + "]}\n");
    assertEquals(EndpointListParser.MAX_ENTRIES, lists.get(0).entries().size());
    ProtocolException many = unreadable(most + "," + GONE + "]}\n");
    assertInstanceOf(LimitExceededException.class, many);
    assertTrue(many.getMessage().contains("65536 entries and " + (most.length() + 2) + " bytes"),
        many.getMessage());
    assertInstanceOf(LimitExceededException.class,
        unreadable(head + ",{\"name\":\"" + "x".repeat(EndpointListParser.MAX_PART_BYTES)));
  }
}
