package saltlatch.wire.resp;

import saltlatch.wire.FramingException;

/**
 * Finds the end of one RESP2 message without keeping its bytes, so that a message for which there
 * is no memory does not cost its connection. A message that is skipped may have any number of
 * levels of arrays, since only its size matters. Owned by one decoder, which reads the lines.
 */
final class MessageSkipper {
  private int valuesLeft = 1; // whose first line has not been read
  private int bulkBytesLeft;
  private boolean bulkEndExpected; // the line end after a bulk string has not been read
  private int skippedBytes;

  /** Skips the rest of a bulk string; returns how many of the available bytes belong to it. */
  int skipBulkBytes(int availableBytes) {
    int size = Math.min(bulkBytesLeft, availableBytes);
    bulkBytesLeft -= size;
    skippedBytes += size;
    return size;
  }

  /**
   * Skips a line outside a bulk string's bytes.
   *
   * @param line      the line without its end
   * @param sizeBytes its size with its end
   * @throws FramingException if the line is not valid at this place
   */
  void skipLine(String line, int sizeBytes) throws FramingException {
    skippedBytes += sizeBytes;
    if (bulkEndExpected) endBulk(line);
    else startValue(RespHeader.parse(line));
  }

  /** Returns whether the message's last byte has been skipped. */
  boolean isComplete() {
    return valuesLeft == 0 && !bulkEndExpected;
  }

  int skippedBytes() {
    return skippedBytes;
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
