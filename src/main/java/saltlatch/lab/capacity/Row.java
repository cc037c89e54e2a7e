package saltlatch.lab.capacity;

/**
 * A row of a role's table.
 *
 * @param what      the quantity
 * @param condition the operating condition
 * @param figure    the value
 * @param unit      unit of figure and budget
 * @param budget    the upper bound of the figure, or null if there is none
 * @param mechanism the parts of the system that carry this load
 */
public record Row(String what, LoadCondition condition, Figure figure, String unit, Figure budget,
    String mechanism) {

  /** Returns a row without a budget. */
  public static Row of(String what, LoadCondition condition, Figure figure, String unit,
      String mechanism) {
    return new Row(what, condition, figure, unit, null, mechanism);
  }

  /** Returns this row with a budget. */
  public Row withBudget(Figure upperBound) {
    return new Row(what, condition, figure, unit, upperBound, mechanism);
  }
}
