package review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The few forms of RESP2 that clients, nodes and app servers exchange. */
final class Resp {
  private Resp() {}

  /** Encodes a command as an array of bulk strings. */
  static byte[] command(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) text.append(bulk(word));
    return text.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  static String bulk(String word) {
    return "$" + word.length() + "\r\n" + word + "\r\n";
  }

  /** Reads an array of bulk strings; null at the end of the stream before its first byte. */
  static String[] readCommand(InputStream in) throws IOException {
    String header = readLine(in);
    if (header == null) return null;
    if (!header.startsWith("*")) throw new IOException("no array: " + header);
    String[] words = new String[Integer.parseInt(header.substring(1))];
    for (int i = 0; i < words.length; i++) words[i] = readBulk(in, readLine(in));
    return words;
  }

  /** Reads an answer: "+..", "-.." or ":.." as it is, a bulk string as "$" and its text. */
  static String readAnswer(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) return null;
    return switch (line.charAt(0)) {
      case '$' -> "$" + readBulk(in, line);
      case '*' -> readArray(in, Integer.parseInt(line.substring(1)));
      default -> line;
    };
  }

  private static String readArray(InputStream in, int count) throws IOException {
    String first = count > 0 ? readAnswer(in) : "";
    for (int i = 1; i < count; i++) readAnswer(in);
    return first;
  }

  private static String readBulk(InputStream in, String header) throws IOException {
    if (header == null || !header.startsWith("$")) throw new IOException("no bulk: " + header);
    int length = Integer.parseInt(header.substring(1));
    if (length < 0) return "";
    byte[] bytes = in.readNBytes(length + 2);
    if (bytes.length < length + 2) throw new EOFException("bulk cut off");
    return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') return line.substring(0, Math.max(0, line.length() - 1));
      line.append((char) next);
    }
    if (line.length() > 0) throw new EOFException("line cut off");
    return null;
  }
}
