package saltlatch.wire.discovery;

/** Tracks the depth of braces and brackets in a JSON text, byte by byte. */
final class JsonNesting {
  private int depth;
  private boolean inString;
  private boolean escaped;

  /** Returns the number of open braces and brackets; negative if more were closed than opened. */
  int depth() {
    return depth;
  }

  void advance(byte current) {
    if (escaped) escaped = false;
    else if (inString && current == '\\') escaped = true;
    else if (current == '"') inString = !inString;
    else if (!inString && (current == '{' || current == '[')) depth++;
    else if (!inString && (current == '}' || current == ']')) depth--;
  }

  void reset() {
    depth = 0;
    inString = false;
    escaped = false;
  }

  static boolean isSpace(byte current) {
    return current >= 0 && current <= ' ';
  }
}
