package saltlatch.wire.discovery;

/** Follows a JSON text byte by byte: how deep it is in braces and brackets. */
final class JsonNesting {
  private int depth;
  private boolean quoted;
  private boolean escaped;

  /** Open braces and brackets; below 0 where more were closed than opened. */
  int depth() {
    return depth;
  }

  void follow(byte next) {
    if (escaped) escaped = false;
    else if (quoted && next == '\\') escaped = true;
    else if (next == '"') quoted = !quoted;
    else if (!quoted && (next == '{' || next == '[')) depth++;
    else if (!quoted && (next == '}' || next == ']')) depth--;
  }

  void reset() {
    depth = 0;
    quoted = false;
    escaped = false;
  }

  static boolean isSpace(byte next) {
    return next >= 0 && next <= ' ';
  }
}
