package saltlatch.lab.scale;

/** What a scale test measures of one size; the unit is part of the name. */
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
