package saltlatch.configuration;

/**
 * What a node reports to the quorum when it renews its lease.
 *
 * @param node     its name
 * @param active   the version it acts on, {@link ConfigurationVersion#NONE} before the first
 * @param prepared the proposed version it could act on at once, {@code NONE} if there is none
 * @param rejected the proposed version it can't act on, or null
 * @param reason   why it can't, with the key; null if it rejects none
 */
public record LeaseRenewal(String node, ConfigurationVersion active, ConfigurationVersion prepared,
    ConfigurationVersion rejected, String reason) {}
