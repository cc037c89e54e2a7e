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

/** docs/CAPACITY.md says what docs/capacity and the formulas give, and the check can fail. */
class CapacityPageTest {
  @TempDir Path copy;

  private static List<Table> tables() throws IOException {
    return CapacityTables.of(CapacityData.read(Sample.DATA));
  }

  private void copyData() throws IOException {
    try (Stream<Path> files = Files.list(Sample.DATA)) {
      for (Path file : files.filter(Files::isRegularFile).toList())
        Files.copy(file, copy.resolve(file.getFileName()));
    }
  }

  @Test
  void thePageIsWhatTheDataGive() throws Exception {
    String page = Files.readString(Sample.PAGE);
    assertEquals(List.of(), CapacityPage.outdatedTables(page, tables()), "run: lab scale report");
    assertEquals(CapacityPage.withTables(page, tables()), page);
  }

  @Test
  void aChangedInputIsFound() throws Exception {
    copyData();
    Path inputs = copy.resolve("assumptions.toml");
    String changed = Files.readString(inputs).replace("value = 650000", "value = 650001");
    Files.writeString(inputs, changed);
    List<String> different = CapacityPage.outdatedTables(Files.readString(Sample.PAGE),
        CapacityTables.of(CapacityData.read(copy)));
    assertTrue(different.contains("target"), different.toString());
    assertFalse(different.contains("subsets"), different.toString());
  }

  @Test
  void aChangedMeasurementIsFound() throws Exception {
    copyData();
    Files.writeString(copy.resolve("more.jsonl"), Sample.one("list.start", 123_456, 99).toJson()
        + "\n" + Sample.one("list.start", 234_567, 98).toJson() + "\n");
    List<String> different = CapacityPage.outdatedTables(Files.readString(Sample.PAGE),
        CapacityTables.of(CapacityData.read(copy)));
    assertTrue(different.containsAll(List.of("slopes", "edge-node")), different.toString());
  }

  @Test
  void aFigureChangedOnThePageIsFound() throws Exception {
    String page = Files.readString(Sample.PAGE);
    String changed = page.replace("650,000", "660,000");
    assertFalse(page.equals(changed));
    assertTrue(CapacityPage.outdatedTables(changed, tables()).contains("target"));
  }

  @Test
  void localeTimeZoneAndOrderDoNotMatter() throws Exception {
    CapacityData data = CapacityData.read(Sample.DATA);
    List<Table> here = CapacityTables.of(data);
    List<saltlatch.lab.scale.Measurement> turned = new ArrayList<>(data.measurements());
    Collections.reverse(turned);
    Locale locale = Locale.getDefault();
    TimeZone zone = TimeZone.getDefault();
    try {
      Locale.setDefault(Locale.forLanguageTag("ar-EG-u-nu-arab"));
      TimeZone.setDefault(TimeZone.getTimeZone("Asia/Kathmandu"));
      assertEquals(here, CapacityTables
          .of(new CapacityData(data.inputs(), turned, data.before(), data.benchDays())));
    } finally {
      Locale.setDefault(locale);
      TimeZone.setDefault(zone);
    }
  }

  @Test
  void theProseHoldsNoFigure() throws Exception {
    String prose = CapacityPage.prose(Files.readString(Sample.PAGE));
    prose = prose.replaceAll("(?s)### Sources.*?\n## ", "\n## ").replaceAll("`[^`]*`", "");
    Pattern digit = Pattern.compile("[0-9]");
    List<String> found = prose.lines().filter(line -> digit.matcher(line).find()).toList();
    assertEquals(List.of(), found);
  }

  @Test
  void placesAndTablesMustFit() {
    Table table = new Table("one", List.of("a"), List.of(List.of("1")));
    String place = "<!-- table:one -->\nold\n<!-- end:one -->";
    assertEquals("x <!-- table:one -->\n| a |\n| --- |\n| 1 |\n<!-- end:one --> y",
        CapacityPage.withTables("x " + place + " y", List.of(table)));
    assertThrows(CapacityPage.PageMismatchException.class,
        () -> CapacityPage.withTables("no place", List.of(table)));
    assertThrows(CapacityPage.PageMismatchException.class,
        () -> CapacityPage.withTables(place + place, List.of(table)));
    assertThrows(CapacityPage.PageMismatchException.class,
        () -> CapacityPage.withTables(place, List.of()));
  }

  @Test
  void badDataAreNamed() throws Exception {
    copyData();
    Files.writeString(copy.resolve("broken.jsonl"), "{\"what\":\n");
    assertTrue(assertThrows(IOException.class, () -> CapacityData.read(copy)).getMessage()
        .contains("broken.jsonl: line 1"));
    Files.delete(copy.resolve("broken.jsonl"));
    Path inputs = copy.resolve("assumptions.toml");
    String whole = Files.readString(inputs);
    Files.writeString(inputs, whole.replace("[zones]", "[zonse]"));
    assertTrue(assertThrows(IOException.class, () -> CapacityData.read(copy)).getMessage()
        .contains("zones"));
    Files.writeString(inputs, whole.replace("value = 650000", "value = -1"));
    assertTrue(assertThrows(IOException.class, () -> CapacityData.read(copy)).getMessage()
        .contains("requests_per_second"));
  }
}
