package saltlatch.state;

/**
 * The memory that one connection holds for one purpose, such as an incomplete command. A connection
 * may always hold {@link #UNRESERVED_BYTES}, so that short messages pass even when the budget that
 * all connections share is used up; what it holds beyond that is reserved in the budget. Owned by
 * the event loop.
 */
public final class ConnectionMemory {
  /** Bytes that each connection may hold without a reservation. */
  public static final int UNRESERVED_BYTES = 4 * 1024;

  private final MemoryBudget budget;
  private long heldBytes;

  /** Creates an account that holds nothing and reserves from this budget. */
  public ConnectionMemory(MemoryBudget budget) {
    this.budget = budget;
  }

  /**
   * Changes how many bytes are held. A smaller number is always accepted.
   *
   * @return false, with the number unchanged, if the budget refuses the reservation
   */
  public boolean tryResize(long bytes) {
    long additionalBytes = reservedFor(bytes) - reservedFor(heldBytes);
    if (additionalBytes > 0 && !budget.tryReserve(additionalBytes)) return false;
    if (additionalBytes < 0) budget.release(-additionalBytes);
    heldBytes = bytes;
    return true;
  }

  /** Releases everything; called when the connection ends. */
  public void clear() {
    budget.release(reservedFor(heldBytes));
    heldBytes = 0;
  }

  /** Returns how many bytes are held. */
  public long heldBytes() {
    return heldBytes;
  }

  private static long reservedFor(long bytes) {
    return Math.max(0, bytes - UNRESERVED_BYTES);
  }
}
