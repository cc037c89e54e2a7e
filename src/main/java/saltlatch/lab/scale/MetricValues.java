package saltlatch.lab.scale;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/** Measured values by quantity, put together one after the other. */
public final class MetricValues {
  private final Map<Quantity, Double> all = new EnumMap<>(Quantity.class);

  /** The first of them. */
  public static MetricValues of(Quantity quantity, double value) {
    return new MetricValues().and(quantity, value);
  }

  /** One more. */
  public MetricValues and(Quantity quantity, double value) {
    all.put(quantity, value);
    return this;
  }

  /** All of them. */
  public Map<Quantity, Double> map() {
    return Collections.unmodifiableMap(all);
  }
}
