package saltlatch;

import saltlatch.api.GatewaySettings;

/** Lives until a customer is unseen for a minute, longer while its ceiling's part is not full. */
final class Customer {
  long id, seen;
  GatewaySettings.QuotaPlan plan;
  Window window;
  int out, width, first;
  double othersUse; // fading: what the others passed
  double part; // units this node may pass of a store that has no room for all that may come
  long othersAt, partAt;
  double share; // learned part of its use that comes through this node, half an even one at least
  double room; // units its quota has left, as the totals seen show it; the share of it while alone
  long roomAt;
  double alone = -1; // units passed without the counter since its last answer; below 0: not alone
  double held; // part of the quota that the room stands for while alone
  double drawn; // units taken off that room for a place on the way to the next req; passed by nobody
  double scale = 1; // the same while peers are heard: the part of those that hear each other
  double apart; // units they passed while that was below 1
  double meanwhile; // units this node passed while some peer was overdue
  double presumed; // units those peers are taken to have passed meanwhile, until they say
  long totalAt = Gossip.NEVER; // of the last total
  boolean spent; // a window's count reached the limit and the quota has not filled again since
  double store; // this node's part of the hard ceiling
  long storeAt;
  double[][] learners; // of each frontend: reservation, steps
}
