package saltlatch.policy;

/** Lives for one app srv. */
final class ServerState {
  long id, startedAt;
  int zone, keyGroup;
  double weight;
  boolean ready;
  int inFlight;
  double inverseExpectedSum, elapsedBase; // sums of 1/pace and of sent/pace of what is out
  double completed, spentTime; // fading dispatches managed, and the mean dispatch times they took
  long decayedAt, lastResponseAt; // the latter: last answer, or sending of the first dispatch out
  double rotationCredit; // its place in the rotation
  double warmUpBudgetLeft; // units that it may be sent while it is cold; below 0: sent ahead
  long warmUpBudgetAt;
}
