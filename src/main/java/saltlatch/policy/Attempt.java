package saltlatch.policy;

/** Lives for one dispatch. */
final class Attempt {
  ServerState server;
  long startedAt; // its sending
  long serverStartedAt; // start of its app srv, as known then
  long countedFrom; // the same, later by the time that this node was away meanwhile
  double expectedTicks; // time it was thought to take
  boolean cancelled;
  boolean abandoned; // too long on a sick app srv: no longer counted as out
}
