import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** RESP2 on blocking streams: reads one value, and encodes commands and answers. */
final class Resp {
  private Resp() {}

  /** Returns a String[] for an array, "$TEXT" for a bulk string, or a line with its type. */
  static Object read(InputStream in) throws IOException {
    String line = readLine(in);
    if (line.startsWith("*")) {
      int count = Integer.parseInt(line.substring(1));
      String[] words = new String[Math.max(0, count)];
      for (int i = 0; i < count; i++) {
        Object word = read(in);
        words[i] = word instanceof String text && text.startsWith("$") ? text.substring(1) : null;
      }
      return words;
    }
    if (line.startsWith("$")) {
      int length = Integer.parseInt(line.substring(1));
      if (length < 0) return "$";
      byte[] bytes = in.readNBytes(length + 2);
      if (bytes.length < length + 2) throw new EOFException("within a bulk string");
      return "$" + new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
    }
    return line;
  }

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) throw new EOFException("within a line");
      if (next != '\r') line.append((char) next);
    }
    return line.toString();
  }

  /** Encodes an array of bulk strings, which is a command or the answer of an app server. */
  static byte[] array(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) text.append("$" + word.length() + "\r\n" + word + "\r\n");
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  static byte[] line(String text) {
    return (text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Returns the value of a name in NAME=VALUE,NAME=VALUE; null if it has none. */
  static String term(String terms, String name) {
    for (String term : terms.split(",")) {
      if (term.startsWith(name + "=")) return term.substring(name.length() + 1);
    }
    return null;
  }
}
