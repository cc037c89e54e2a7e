package saltlatch;

import java.util.ArrayDeque;

/** One customer's count for one window; lives for the window and the longest client timeout. */
final class Window {
  Customer customer;
  long name, turn;
  double seen; // last total, with what was lost
  double top; // units charged by that total, with those taken to have passed uncounted
  double mine; // net units of this node that answers have confirmed
  double owed; // units charged or given back that no call has carried yet
  double unsure; // units of timed-out adds since the last total
  double lost; // units that the counter forgot, by what this node knows
  double passed; // units that this node passed, counted or not
  double byCount, byPeers, others; // what the others passed, by totals, by their telling, and as charged
  double[] told; // by each node of the customer's set
  final ArrayDeque<Call> calls = new ArrayDeque<>();
}
