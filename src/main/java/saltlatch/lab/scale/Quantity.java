package saltlatch.lab.scale;

/** A quantity that a scale test measures; its name contains the unit. */
public enum Quantity {
  CPU_MS,
  BYTES_IN,
  BYTES_OUT,
  MESSAGES_IN,
  MESSAGES_OUT,
  HEAP_BYTES,
  RSS_BYTES,
  SECONDS,
  P50_MS,
  P99_MS,
  MAX_MS,
  COUNT
}
