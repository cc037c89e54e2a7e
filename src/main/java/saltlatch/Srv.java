package saltlatch;

/** Lives for one app srv. */
final class Srv {
  long id, since;
  int zone, cell;
  double rating;
  boolean usable;
  int out;
  double paceSum, paceBase; // sums of 1/pace and of sent/pace of what is out
  double done, busy; // fading dispatches managed, and the mean dispatch times they took
  long fadedAt, heardAt; // the latter: last answer, or sending of the first dispatch out
  double credit; // its place in the rotation
  double coldLeft; // units that it may be sent while it is cold; below 0: sent ahead
  long coldAt;
}
