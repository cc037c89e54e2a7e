package saltlatch.lab.scale;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/** Collects measured values by quantity. */
public final class MetricValues {
  private final Map<Quantity, Double> values = new EnumMap<>(Quantity.class);

  /** Returns a collection with this value. */
  public static MetricValues of(Quantity quantity, double value) {
    return new MetricValues().and(quantity, value);
  }

  /** Adds or replaces a value; returns this collection. */
  public MetricValues and(Quantity quantity, double value) {
    values.put(quantity, value);
    return this;
  }

  /** Returns a read-only view of all values. */
  public Map<Quantity, Double> map() {
    return Collections.unmodifiableMap(values);
  }
}
