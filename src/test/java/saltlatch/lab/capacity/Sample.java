package saltlatch.lab.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.Quantity;

/** Data made for tests: every scale test at four sizes, every quantity the same straight line. */
final class Sample {
  static final Path DATA = Path.of("docs/capacity");
  static final Path PAGE = Path.of("docs/CAPACITY.md");
  static final double AT_ZERO = 2;
  static final double SLOPE = 0.5;
  private static final int[] SIZES = {10, 100, 1000, 10_000};

  private Sample() {}

  /** The committed inputs. */
  static Inputs inputs() throws Exception {
    return CapacityData.read(DATA).inputs();
  }

  /** No test was run. */
  static CapacityModel withoutMeasurements() throws Exception {
    return CapacityModel.of(inputs(), List.of());
  }

  /** Every test was run. */
  static CapacityModel whole() throws Exception {
    List<Measurement> all = new ArrayList<>();
    for (Series test : Series.values()) {
      for (int size : SIZES) all.add(one(test.id(), size, AT_ZERO + SLOPE * size));
    }
    return CapacityModel.of(inputs(), all);
  }

  /** A measurement with the same value for every quantity. */
  static Measurement one(String test, long size, double value) {
    Map<Quantity, Double> values = new EnumMap<>(Quantity.class);
    for (Quantity quantity : Quantity.values()) values.put(quantity, value);
    return new Measurement(test, "things", size, 1, values, "0000000");
  }
}
