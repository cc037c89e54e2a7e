package saltlatch.lab.capacity;

import java.util.Collection;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.Quantity;

/**
 * The inputs and measurements that the formulas use.
 *
 * @param inputs values of the target, the constants and the assumptions
 * @param fits   regression lines through the measurements
 * @param runs   runs of the relay tiers at or near the target's size
 */
public record CapacityModel(Inputs inputs, Fits fits, RelayRuns runs) {

  /** Returns the model for these inputs and measurements. */
  public static CapacityModel of(Inputs inputs, Collection<Measurement> measurements) {
    return new CapacityModel(inputs, Fits.of(measurements), RelayRuns.of(measurements));
  }

  /** Returns a copy of this model in which one input has another value. */
  public CapacityModel with(Input input, double value) {
    return new CapacityModel(inputs.with(input, value), fits, runs);
  }

  /** Returns an input as a figure. */
  public Figure input(Input input) {
    return inputs.figure(input);
  }

  /** Returns a series' figure at the size that an input gives. */
  public Figure at(Series series, Quantity quantity, Input size) {
    return at(series, quantity, input(size));
  }

  /**
   * Returns a series' figure at a computed size. The standard error of the size, multiplied by
   * the slope, is combined with the figure's error as an independent error.
   */
  public Figure at(Series series, Quantity quantity, Figure size) {
    if (!size.known()) return fits.at(series.id(), quantity, 0).withConfidence(Confidence.MISSING);
    Figure atSize = fits.at(series.id(), quantity, size.value());
    Figure errorFromSize = fits.slope(series.id(), quantity)
        .times(new Figure(0, size.error(), size.confidence(), size.sources()));
    return atSize.plus(errorFromSize);
  }

  /** Returns the slope of a series' regression line: the increase for each unit of size. */
  public Figure slope(Series series, Quantity quantity) {
    return fits.slope(series.id(), quantity);
  }

  /** Returns the value of a series' regression line at size 0. */
  public Figure intercept(Series series, Quantity quantity) {
    return fits.intercept(series.id(), quantity);
  }

  /** Returns a series' figure at the largest size that was run. */
  public Figure atLargest(Series series, Quantity quantity) {
    Fit fit = fits.find(series.id(), quantity);
    return fit == null ? fits.at(series.id(), quantity, 0) : fit.at(fit.largest());
  }
}
