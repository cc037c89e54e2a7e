package saltlatch.lab.capacity;

/**
 * A term that breaks below the target's size.
 *
 * @param term      what breaks
 * @param then      what comes of it
 * @param holds     the largest size at which it holds
 * @param target    the size aimed at
 * @param unit      of both
 * @param mechanism what takes it away
 */
public record Wall(String term, Consequence then, Figure holds, Figure target, String unit,
    Mechanism mechanism) {

  /** Part of the target at which the term breaks. */
  public Figure part() {
    return holds.over(target);
  }
}
