package saltlatch.policy;

enum RequestEnd {
  NONE,
  REJECTED,
  FAILED
}
