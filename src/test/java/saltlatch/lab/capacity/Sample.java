package saltlatch.lab.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.Quantity;

/** Test data: every scale test at four sizes, with the same straight line for every quantity. */
final class Sample {
  static final Path DATA = Path.of("docs/capacity");
  static final Path PAGE = Path.of("docs/CAPACITY.md");
  static final double INTERCEPT = 2;
  static final double SLOPE = 0.5;
  private static final int[] SIZES = {10, 100, 1000, 10_000};

  private Sample() {}

  /** Returns the committed inputs. */
  static Inputs inputs() throws Exception {
    return CapacityData.read(DATA).inputs();
  }

  /** Returns a model without measurements. */
  static CapacityModel withoutMeasurements() throws Exception {
    return CapacityModel.of(inputs(), List.of());
  }

  /** Returns a model with measurements of every test. */
  static CapacityModel withMeasurements() throws Exception {
    List<Measurement> measurements = new ArrayList<>();
    for (Series series : Series.values()) {
      for (int size : SIZES)
        measurements.add(measurement(series.id(), size, INTERCEPT + SLOPE * size));
    }
    return CapacityModel.of(inputs(), measurements);
  }

  /** Returns a measurement with the same value for every quantity. */
  static Measurement measurement(String test, long size, double value) {
    Map<Quantity, Double> values = new EnumMap<>(Quantity.class);
    for (Quantity quantity : Quantity.values()) values.put(quantity, value);
    return new Measurement(test, "things", size, 1, values, "0000000");
  }
}
