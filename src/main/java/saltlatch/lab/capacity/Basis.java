package saltlatch.lab.capacity;

import saltlatch.lab.scale.Quantity;

/**
 * All that a formula may use.
 *
 * @param inputs target and assumptions
 * @param fits   lines through the measurements
 */
public record Basis(Inputs inputs, Fits fits) {

  /** An input as a figure. */
  public Figure in(Input input) {
    return inputs.figure(input);
  }

  /** What a test's line gives at the size of an input. */
  public Figure at(ScaleTest test, Quantity quantity, Input size) {
    return at(test, quantity, in(size));
  }

  /** What a test's line gives at a computed size; the size's own error goes in by the slope. */
  public Figure at(ScaleTest test, Quantity quantity, Figure size) {
    if (!size.known()) return fits.at(test.id(), quantity, 0).withStanding(Standing.MISSING);
    Figure there = fits.at(test.id(), quantity, size.value());
    Figure bySize = fits.slope(test.id(), quantity)
        .times(new Figure(0, size.error(), size.standing(), size.sources()));
    return there.plus(bySize);
  }

  /** What one more adds in a test. */
  public Figure slope(ScaleTest test, Quantity quantity) {
    return fits.slope(test.id(), quantity);
  }

  /** What is there at size 0 of a test. */
  public Figure intercept(ScaleTest test, Quantity quantity) {
    return fits.intercept(test.id(), quantity);
  }
}
