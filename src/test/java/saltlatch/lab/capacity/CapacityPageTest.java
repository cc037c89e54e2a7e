package saltlatch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.TimeZone;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that docs/CAPACITY.md matches docs/capacity and the formulas, and that a mismatch is found.
 */
class CapacityPageTest {
  @TempDir Path dataCopy;

  private static List<Table> tables() throws IOException {
    return CapacityTables.of(CapacityData.read(Sample.DATA));
  }

  private void copyData() throws IOException {
    try (Stream<Path> files = Files.list(Sample.DATA)) {
      for (Path file : files.filter(Files::isRegularFile).toList())
        Files.copy(file, dataCopy.resolve(file.getFileName()));
    }
  }

  @Test
  void committedPageMatchesTheData() throws Exception {
    String page = Files.readString(Sample.PAGE);
    assertEquals(List.of(), CapacityPage.outdatedTables(page, tables()), "run: lab scale report");
    assertEquals(CapacityPage.withTables(page, tables()), page);
  }

  @Test
  void changedInputIsReported() throws Exception {
    copyData();
    Path inputs = dataCopy.resolve("assumptions.toml");
    String changed = Files.readString(inputs).replace("value = 650000", "value = 650001");
    Files.writeString(inputs, changed);
    List<String> outdated = CapacityPage.outdatedTables(Files.readString(Sample.PAGE),
        CapacityTables.of(CapacityData.read(dataCopy)));
    assertTrue(outdated.contains("target"), outdated.toString());
    assertFalse(outdated.contains("subsets"), outdated.toString());
  }

  @Test
  void changedMeasurementIsReported() throws Exception {
    copyData();
    Files.writeString(dataCopy.resolve("more.jsonl"),
        Sample.measurement("list.start", 123_456, 99).toJson() + "\n"
            + Sample.measurement("list.start", 234_567, 98).toJson() + "\n");
    List<String> outdated = CapacityPage.outdatedTables(Files.readString(Sample.PAGE),
        CapacityTables.of(CapacityData.read(dataCopy)));
    assertTrue(outdated.containsAll(List.of("slopes", "edge-node")), outdated.toString());
  }

  @Test
  void changedFigureOnThePageIsReported() throws Exception {
    String page = Files.readString(Sample.PAGE);
    String changed = page.replace("650,000", "660,000");
    assertFalse(page.equals(changed));
    assertTrue(CapacityPage.outdatedTables(changed, tables()).contains("target"));
  }

  @Test
  void tablesDoNotDependOnLocaleTimeZoneOrOrder() throws Exception {
    CapacityData data = CapacityData.read(Sample.DATA);
    List<Table> expected = CapacityTables.of(data);
    List<saltlatch.lab.scale.Measurement> reversed = new ArrayList<>(data.measurements());
    Collections.reverse(reversed);
    Locale locale = Locale.getDefault();
    TimeZone zone = TimeZone.getDefault();
    try {
      Locale.setDefault(Locale.forLanguageTag("ar-EG-u-nu-arab"));
      TimeZone.setDefault(TimeZone.getTimeZone("Asia/Kathmandu"));
      assertEquals(expected, CapacityTables
          .of(new CapacityData(data.inputs(), reversed, data.before(), data.benchDays())));
    } finally {
      Locale.setDefault(locale);
      TimeZone.setDefault(zone);
    }
  }

  @Test
  void proseContainsNoDigits() throws Exception {
    String prose = CapacityPage.prose(Files.readString(Sample.PAGE));
    prose = prose.replaceAll("(?s)### Sources.*?\n## ", "\n## ").replaceAll("`[^`]*`", "");
    Pattern digit = Pattern.compile("[0-9]");
    List<String> found = prose.lines().filter(line -> digit.matcher(line).find()).toList();
    assertEquals(List.of(), found);
  }

  @Test
  void markersAndTablesMustMatch() {
    Table table = new Table("one", List.of("a"), List.of(List.of("1")));
    String markers = "<!-- table:one -->\nold\n<!-- end:one -->";
    assertEquals("x <!-- table:one -->\n| a |\n| --- |\n| 1 |\n<!-- end:one --> y",
        CapacityPage.withTables("x " + markers + " y", List.of(table)));
    assertThrows(CapacityPage.PageMismatchException.class,
        () -> CapacityPage.withTables("no place", List.of(table)));
    assertThrows(CapacityPage.PageMismatchException.class,
        () -> CapacityPage.withTables(markers + markers, List.of(table)));
    assertThrows(CapacityPage.PageMismatchException.class,
        () -> CapacityPage.withTables(markers, List.of()));
  }

  @Test
  void errorsNameTheInvalidFileOrKey() throws Exception {
    copyData();
    Files.writeString(dataCopy.resolve("broken.jsonl"), "{\"what\":\n");
    assertTrue(assertThrows(IOException.class, () -> CapacityData.read(dataCopy)).getMessage()
        .contains("broken.jsonl: line 1"));
    Files.delete(dataCopy.resolve("broken.jsonl"));
    Path inputs = dataCopy.resolve("assumptions.toml");
    String committed = Files.readString(inputs);
    Files.writeString(inputs, committed.replace("[zones]", "[zonse]"));
    assertTrue(assertThrows(IOException.class, () -> CapacityData.read(dataCopy)).getMessage()
        .contains("zones"));
    Files.writeString(inputs, committed.replace("value = 650000", "value = -1"));
    assertTrue(assertThrows(IOException.class, () -> CapacityData.read(dataCopy)).getMessage()
        .contains("requests_per_second"));
  }
}
