package saltlatch.lab.capacity;

/**
 * A limit up to which a property of the system holds, compared with the target's size.
 *
 * @param term        the property that fails above the limit
 * @param consequence the consequence of exceeding the limit
 * @param limit       the largest size at which the property holds
 * @param target      the size that is required
 * @param unit        unit of limit and target
 * @param mechanism   the change that removes the limit
 */
public record ScalingLimit(String term, Consequence consequence, Figure limit, Figure target,
    String unit, Mechanism mechanism) {

  /** Returns the limit as a fraction of the target; below 1, the limit is below the target. */
  public Figure fractionOfTarget() {
    return limit.dividedBy(target);
  }
}
