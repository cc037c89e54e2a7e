package saltlatch.state;

/**
 * The budgets that bound what all connections of a node together hold of messages. Together with
 * the unreserved bytes of each connection they bound the node's memory for messages, whatever
 * clients and app servers do. Owned by the event loop.
 *
 * @param incompleteCommands clients' commands whose last byte has not arrived
 * @param requests           commands of requests in flight
 * @param incompleteReplies  app servers' replies whose last byte has not arrived
 * @param unsentReplies      replies that clients have not taken yet
 */
public record NodeMemory(MemoryBudget incompleteCommands, MemoryBudget requests,
    MemoryBudget incompleteReplies, MemoryBudget unsentReplies) {

  /** Returns a {@code name=bytes} line for each budget, in the format of INFO. */
  public String infoText() {
    return line("commands_incomplete_bytes", incompleteCommands) + line("reqs_bytes", requests)
        + line("answers_incomplete_bytes", incompleteReplies)
        + line("answers_unsent_bytes", unsentReplies);
  }

  private static String line(String name, MemoryBudget budget) {
    return name + "=" + budget.reservedBytes() + "\n";
  }
}
