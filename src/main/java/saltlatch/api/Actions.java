package saltlatch.api;

/** What an instance can do. Times are tenths of a ms. */
public interface Actions {
  void dispatch(long rid, long srv, long cap);

  /** Final: a further try is harmless, best after {@code pause} (0: no advice). */
  void deny(long rid, long pause);

  /** Final: promises nothing. */
  void abort(long rid);

  void cancel(long rid, int dispatch);

  void wake(long at, long handle);

  void probe(long srv);

  void closeIdle(long srv);

  /**
   * Adds to a named count that is forgotten {@code keep} after its first call; without an answer it ends after
   * {@code cap}, or the time in the settings where that is longer. The simulator knows that time alone.
   */
  void count(long name, double units, long keep, long cap);

  void follow(boolean on);

  void tell(int peer, Told told);

  void note(String text);
}
