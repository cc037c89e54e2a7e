package saltlatch.state;

/**
 * A limit of bytes that many connections or requests share. An owner reserves bytes before it
 * allocates them, and releases them once it no longer holds them. Owned by the event loop.
 */
public final class MemoryBudget {
  private final long maxBytes;
  private long reservedBytes;
  private long refusals;

  /** Creates a budget without reservations. */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns a budget that grants every reservation, for programs that need no limit. */
  public static MemoryBudget unlimited() {
    return new MemoryBudget(Long.MAX_VALUE);
  }

  /** Reserves bytes; returns false, and reserves nothing, if they would exceed the limit. */
  public boolean tryReserve(long bytes) {
    if (bytes > maxBytes - reservedBytes) {
      refusals++;
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Releases bytes that were reserved. */
  public void release(long bytes) {
    reservedBytes -= bytes;
  }

  /** Returns how many bytes are reserved now. */
  public long reservedBytes() {
    return reservedBytes;
  }

  /** Returns how many reservations were refused since the start. */
  public long refusals() {
    return refusals;
  }
}
