package saltlatch;

/** Lives for one dispatch. */
final class Dispatch {
  Srv srv;
  long began; // its sending
  long since; // start of its app srv, as known then
  long sent; // the same, later by the time that this node was away meanwhile
  double pace; // time it was thought to take
  boolean cancelled;
  boolean stale; // too long on a sick app srv: no longer counted as out
}
