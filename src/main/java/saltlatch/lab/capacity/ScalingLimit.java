package saltlatch.lab.capacity;

/**
 * A term that breaks below the target's size.
 *
 * @param term      what breaks
 * @param consequence      what comes of it
 * @param limit     the largest size at which it holds
 * @param target    the size aimed at
 * @param unit      of both
 * @param mechanism what takes it away
 */
public record ScalingLimit(String term, Consequence consequence, Figure limit, Figure target,
    String unit, Mechanism mechanism) {

  /** Part of the target at which the term breaks. */
  public Figure fractionOfTarget() {
    return limit.dividedBy(target);
  }
}
