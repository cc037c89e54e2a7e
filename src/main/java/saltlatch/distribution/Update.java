package saltlatch.distribution;

import java.util.List;

/**
 * The content of one line of a watch.
 *
 * @param version  the list's version after the update is applied
 * @param snapshot true if the entries are the complete list, false if they are the entries changed
 *     since the previous line
 * @param entries  the entries of the line, in its order
 */
public record Update(Version version, boolean snapshot, List<Entry> entries) {}
