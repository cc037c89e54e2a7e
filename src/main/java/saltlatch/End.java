package saltlatch;

enum End {
  NONE,
  DENIED,
  ABORTED
}
