package saltlatch.distribution;

import java.util.List;

/**
 * What one line of a watch says.
 *
 * @param version the list's version once this is applied
 * @param snapshot   true: the entries are the whole list; false: those that changed since the line
 *     before
 */
public record Update(Version version, boolean snapshot, List<Entry> entries) {}
