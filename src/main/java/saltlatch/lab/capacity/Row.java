package saltlatch.lab.capacity;

/**
 * A line of a role's table.
 *
 * @param what      what is counted
 * @param condition    when
 * @param figure    how much
 * @param unit      of figure and budget
 * @param budget    the most that it may be; null where none is set
 * @param mechanism what carries it
 */
public record Row(String what, LoadCondition condition, Figure figure, String unit, Figure budget,
    String mechanism) {

  /** A line without a budget. */
  public static Row of(String what, LoadCondition condition, Figure figure, String unit,
      String mechanism) {
    return new Row(what, condition, figure, unit, null, mechanism);
  }

  /** The same with a budget. */
  public Row withBudget(Figure most) {
    return new Row(what, condition, figure, unit, most, mechanism);
  }
}
