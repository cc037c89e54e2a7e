package saltlatch;

/** A count call; lives until its answer. */
record Call(Window window, Req req, double units, long at) {}
