package saltlatch.wire;

import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Cuts a watch's stream into JSON objects: one a line, or one over several lines that are indented. A line that begins with a
 * brace begins an object, whatever came before it.
 */
final class ListReader {
  private static final int LONGEST = 1 << 20; // bytes; a list of thousands of app srvs is shorter

  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private int depth; // of open braces and brackets
  private boolean quoted;
  private boolean escaped;
  private boolean lineBegins = true;

  /** True if a whole object or an empty line has come. */
  boolean feed(Buffer more, Consumer<String> use) {
    boolean whole = false;
    for (int i = 0; i < more.length(); i++) {
      byte b = more.getByte(i);
      // Guards against an object that was cut off and takes the next one in.
      if (lineBegins && b == '{' && text.size() > 0) give(use);
      if (b == '\n' && depth <= 0) {
        if (!blank()) give(use);
        clear();
        whole = true;
      } else {
        if (text.size() < LONGEST) text.write(b);
        follow(b);
      }
      lineBegins = b == '\n';
    }
    return whole;
  }

  boolean isTooLong() {
    return text.size() >= LONGEST;
  }

  private void follow(byte b) {
    if (escaped) escaped = false;
    else if (quoted && b == '\\') escaped = true;
    else if (b == '"') quoted = !quoted;
    else if (!quoted && (b == '{' || b == '[')) depth++;
    else if (!quoted && (b == '}' || b == ']')) depth--;
  }

  private boolean blank() {
    for (byte b : text.toByteArray()) if (b > ' ' || b < 0) return false;
    return true;
  }

  private void give(Consumer<String> use) {
    use.accept(text.toString(StandardCharsets.UTF_8));
    clear();
  }

  private void clear() {
    text.reset();
    depth = 0;
    quoted = false;
    escaped = false;
  }
}
