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
 * The input data of the capacity page's tables, as committed in docs/capacity.
 *
 * @param inputs       values of the target, the constants and the assumptions
 * @param measurements measurements of the scale tests
 * @param before       measurements of the scale tests on an older commit, {@code before/*.jsonl}
 * @param benchDays    days measured on the operators' bench
 */
public record CapacityData(Inputs inputs, List<Measurement> measurements, List<Measurement> before,
    List<BenchDay> benchDays) {
  private static final String INPUTS_FILE = "assumptions.toml";
  private static final String BENCH_FILE = "bench-prices.jsonl";
  private static final String BEFORE_DIRECTORY = "before";
  private static final String JSON_LINES_SUFFIX = ".jsonl";

  /** Thrown if a file cannot be used; the message names the file and the line or key. */
  public static final class UnreadableDataException extends IOException {
    private static final long serialVersionUID = 1;

    UnreadableDataException(String message, Exception cause) {
      super(message, cause);
    }
  }

  /**
   * Reads a data directory: {@code assumptions.toml}, {@code bench-prices.jsonl} if it exists, all
   * other {@code *.jsonl} as measurements, and {@code before/*.jsonl} if that directory exists.
   */
  public static CapacityData read(Path directory) throws IOException {
    Inputs inputs = inputs(directory.resolve(INPUTS_FILE));
    List<Measurement> measurements = new ArrayList<>();
    List<BenchDay> benchDays = new ArrayList<>();
    for (Path file : jsonLinesFiles(directory)) {
      if (file.getFileName().toString().equals(BENCH_FILE))
        benchDays.addAll(lines(file, BenchDay::parse));
      else measurements.addAll(lines(file, Measurement::parse));
    }
    List<Measurement> before = new ArrayList<>();
    Path beforeDirectory = directory.resolve(BEFORE_DIRECTORY);
    if (Files.isDirectory(beforeDirectory)) {
      for (Path file : jsonLinesFiles(beforeDirectory))
        before.addAll(lines(file, Measurement::parse));
    }
    return new CapacityData(inputs, List.copyOf(measurements), List.copyOf(before),
        List.copyOf(benchDays));
  }

  /** Returns the model that the formulas use. */
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

  private static List<Path> jsonLinesFiles(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> file.getFileName().toString().endsWith(JSON_LINES_SUFFIX))
          .sorted(Comparator.comparing(file -> file.getFileName().toString())).toList();
    }
  }

  private static <T> List<T> lines(Path file, Function<String, T> parse) throws IOException {
    List<T> records = new ArrayList<>();
    int lineNumber = 0;
    for (String line : Files.readAllLines(file)) {
      lineNumber++;
      if (line.isBlank()) continue;
      try {
        records.add(parse.apply(line));
      } catch (RuntimeException e) {
        throw new UnreadableDataException(file + ": line " + lineNumber
            + ": expected a measurement or bench day as a JSON object", e);
      }
    }
    return records;
  }
}
