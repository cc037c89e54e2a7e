package saltlatch.lab.capacity;

import java.util.Collection;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.Quantity;

/**
 * All that a formula may use.
 *
 * @param inputs target and assumptions
 * @param fits   lines through the measurements
 * @param runs   runs of relays at size
 */
public record CapacityModel(Inputs inputs, Fits fits, RelayRuns runs) {

  /** All of it, from these measurements. */
  public static CapacityModel of(Inputs inputs, Collection<Measurement> measurements) {
    return new CapacityModel(inputs, Fits.of(measurements), RelayRuns.of(measurements));
  }

  /** The same with one input changed. */
  public CapacityModel with(Input input, double value) {
    return new CapacityModel(inputs.with(input, value), fits, runs);
  }

  /** An input as a figure. */
  public Figure input(Input input) {
    return inputs.figure(input);
  }

  /** What a series' line gives at the size of an input. */
  public Figure at(Series series, Quantity quantity, Input size) {
    return at(series, quantity, input(size));
  }

  /** What a series' line gives at a computed size; the size's own error goes in by the slope. */
  public Figure at(Series series, Quantity quantity, Figure size) {
    if (!size.known()) return fits.at(series.id(), quantity, 0).withConfidence(Confidence.MISSING);
    Figure there = fits.at(series.id(), quantity, size.value());
    Figure bySize = fits.slope(series.id(), quantity)
        .times(new Figure(0, size.error(), size.confidence(), size.sources()));
    return there.plus(bySize);
  }

  /** What one more adds in a series. */
  public Figure slope(Series series, Quantity quantity) {
    return fits.slope(series.id(), quantity);
  }

  /** What is there at size 0 of a series. */
  public Figure intercept(Series series, Quantity quantity) {
    return fits.intercept(series.id(), quantity);
  }

  /** What a series measured at the largest size that was run. */
  public Figure atLargest(Series series, Quantity quantity) {
    Fit fit = fits.find(series.id(), quantity);
    return fit == null ? fits.at(series.id(), quantity, 0) : fit.at(fit.largest());
  }
}
