package saltlatch;

import saltlatch.api.GatewayEvent;

/** Lives for one req. */
final class Req {
  GatewayEvent.RequestArrived told;
  Kind kind;
  Customer customer;
  boolean belated; // a client's further try, by the wait left to it too late for its response target
  long end; // wanted: the final answer by then
  Window window; // charged there; null where the plan has no quota
  double reserved;
  double charged; // of it, what its count call added
  boolean counting; // its count call is out
  boolean admitted, streaming, over, touched, timed;
  long ranSince = -1; // sending of the first dispatch that may have run
  Srv ranOn;
  Dispatch live; // never two at once
  int sends;
  Srv last;
  Srv next; // wanted: a dispatch there
  End wantEnd = End.NONE; // wanted: its final answer
  long pause;
}
