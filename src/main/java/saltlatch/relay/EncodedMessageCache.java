package saltlatch.relay;

import java.util.EnumMap;
import java.util.IdentityHashMap;
import java.util.Map;
import saltlatch.distribution.Message;

/**
 * Gives the one encoded form of each message to all who send it. The latest of each kind is kept
 * between its watchers, so that those who come one after the other share it as well.
 */
final class EncodedMessageCache {
  private final IdentityHashMap<Message, EncodedMessage> used = new IdentityHashMap<>();
  private final Map<Message.Kind, EncodedMessage> latest = new EnumMap<>(Message.Kind.class);
  private long encodings;

  /** The encoded form, held until {@link #release}. */
  EncodedMessage use(Message message) {
    EncodedMessage encoded = hold(message);
    EncodedMessage before = latest.get(message.kind());
    if (before != encoded) {
      latest.put(message.kind(), hold(message));
      if (before != null) release(before);
    }
    return encoded;
  }

  void release(EncodedMessage encoded) {
    if (encoded.removeUser()) used.remove(encoded.message());
  }

  /** Bytes outside the heap of all that are held. */
  long bytes() {
    return used.values().stream().mapToLong(EncodedMessage::bytes).sum();
  }

  /** Messages encoded since the start. */
  long encodings() {
    return encodings;
  }

  private EncodedMessage hold(Message message) {
    EncodedMessage encoded = used.computeIfAbsent(message, m -> {
      encodings++;
      return new EncodedMessage(m);
    });
    encoded.addUser();
    return encoded;
  }
}
