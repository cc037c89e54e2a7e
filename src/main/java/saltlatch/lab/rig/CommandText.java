package saltlatch.lab.rig;

/** Encodes the commands that the laboratory's clients send to edge nodes. */
public final class CommandText {
  private CommandText() {}

  /** Returns a RESP2 array of bulk strings; the words are ASCII. */
  public static String of(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words)
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    return text.toString();
  }
}
