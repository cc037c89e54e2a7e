package saltlatch.lab.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;
import saltlatch.lab.scale.Measurement;

/**
 * All that the page's tables are made of, as committed in docs/capacity.
 *
 * @param inputs       target and assumptions
 * @param measurements all lines of the scale tests
 * @param before       lines of the scale tests of an older text, {@code before/*.jsonl}
 * @param benchDays    days of the operators' bench
 */
public record CapacityData(Inputs inputs, List<Measurement> measurements, List<Measurement> before,
    List<BenchDay> benchDays) {
  private static final String INPUTS = "assumptions.toml";
  private static final String BENCH = "bench-prices.jsonl";
  private static final String BEFORE = "before";
  private static final String LINES = ".jsonl";

  /** A file that can't be used; the message names file and line or key. */
  public static final class UnreadableDataException extends IOException {
    private static final long serialVersionUID = 1;

    UnreadableDataException(String message, Exception cause) {
      super(message, cause);
    }
  }

  /**
   * Reads a directory: {@code assumptions.toml}, {@code bench-prices.jsonl} if there, all other
   * {@code *.jsonl}.
   */
  public static CapacityData read(Path directory) throws IOException {
    Inputs inputs = inputs(directory.resolve(INPUTS));
    List<Measurement> measurements = new ArrayList<>();
    List<BenchDay> benchDays = new ArrayList<>();
    for (Path file : lineFiles(directory)) {
      if (file.getFileName().toString().equals(BENCH))
        benchDays.addAll(lines(file, BenchDay::parse));
      else measurements.addAll(lines(file, Measurement::parse));
    }
    List<Measurement> before = new ArrayList<>();
    Path older = directory.resolve(BEFORE);
    if (Files.isDirectory(older)) {
      for (Path file : lineFiles(older)) before.addAll(lines(file, Measurement::parse));
    }
    return new CapacityData(inputs, List.copyOf(measurements), List.copyOf(before),
        List.copyOf(benchDays));
  }

  /** What the formulas use. */
  public CapacityModel model() {
    return CapacityModel.of(inputs, measurements);
  }

  private static Inputs inputs(Path file) throws IOException {
    try {
      return Inputs.parse(Files.readString(file));
    } catch (Inputs.InvalidInputException e) {
      throw new UnreadableDataException(file + ": " + e.getMessage(), e);
    }
  }

  private static List<Path> lineFiles(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> file.getFileName().toString().endsWith(LINES))
          .sorted(Comparator.comparing(file -> file.getFileName().toString())).toList();
    }
  }

  private static <T> List<T> lines(Path file, Function<String, T> parse) throws IOException {
    List<T> all = new ArrayList<>();
    int number = 0;
    for (String line : Files.readAllLines(file)) {
      number++;
      if (line.isBlank()) continue;
      try {
        all.add(parse.apply(line));
      } catch (RuntimeException e) {
        throw new UnreadableDataException(file + ": line " + number + ": no measurement", e);
      }
    }
    return all;
  }
}
