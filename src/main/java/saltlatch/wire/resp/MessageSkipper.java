package saltlatch.wire.resp;

import saltlatch.wire.FramingException;

/**
 * Finds the end of one RESP2 message without keeping its bytes, so that a message for which there
 * is no memory does not cost its connection. Holds at most one line. A message that is skipped may
 * have any number of levels of arrays, since only its size matters. Owned by one decoder.
 */
final class MessageSkipper {
  private static final String LINE_END = "\r\n";

  private final StringBuilder line = new StringBuilder();
  private int valuesLeft = 1; // whose first line has not been read
  private int bulkBytesLeft;
  private boolean bulkEndExpected; // the line end after a bulk string has not been read
  private int skippedBytes;

  /**
   * Skips bytes up to the end of the message, if they contain it.
   *
   * @return the index after the last skipped byte
   * @throws FramingException if the bytes are not a RESP2 value, or the value exceeds a limit
   */
  int skip(byte[] bytes, int begin, int end) throws FramingException {
    int position = begin;
    while (position < end && !isComplete()) {
      if (bulkBytesLeft > 0) {
        int size = Math.min(bulkBytesLeft, end - position);
        bulkBytesLeft -= size;
        position += size;
      } else {
        addToLine(bytes[position]);
        position++;
      }
    }
    skippedBytes += position - begin;
    if (!isComplete() && skippedBytes > RespHeader.MAX_MESSAGE_BYTES)
      throw RespHeader.messageTooLong(skippedBytes);
    return position;
  }

  /** Returns whether the message's last byte has been skipped. */
  boolean isComplete() {
    return valuesLeft == 0 && !bulkEndExpected;
  }

  int skippedBytes() {
    return skippedBytes;
  }

  private void addToLine(byte next) throws FramingException {
    line.append((char) Byte.toUnsignedInt(next));
    int textLength = line.length() - LINE_END.length();
    if (textLength < 0 || line.indexOf(LINE_END, textLength) < 0) {
      if (line.length() > RespHeader.MAX_LINE_BYTES) throw RespHeader.lineTooLong();
      return;
    }
    String text = line.substring(0, textLength);
    line.setLength(0);
    if (bulkEndExpected) endBulk(text);
    else startValue(RespHeader.parse(text));
  }

  private void endBulk(String textBeforeLineEnd) throws FramingException {
    if (!textBeforeLineEnd.isEmpty()) throw RespHeader.bulkWithoutEnd("while it was skipped");
    bulkEndExpected = false;
  }

  private void startValue(RespHeader header) {
    valuesLeft--;
    if (header.length() == RespHeader.NULL_LENGTH) return;
    if (header.type() == '*') valuesLeft += header.length();
    if (header.type() == '$') {
      bulkBytesLeft = header.length();
      bulkEndExpected = true;
    }
  }
}
