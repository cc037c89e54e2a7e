package saltlatch.configuration;

/**
 * A node's request to the quorum to renew its lease, with the node's status.
 *
 * @param node     the node's name
 * @param active   the version that the node acts on; {@link ConfigurationVersion#NONE} before the
 *     first activation
 * @param prepared the proposed version on which the node could act immediately; {@code NONE} if
 *     there is none
 * @param rejected the proposed version on which the node can't act; null if there is none
 * @param reason   why the node rejects that version, with the key; null if it rejects none
 */
public record LeaseRenewal(String node, ConfigurationVersion active, ConfigurationVersion prepared,
    ConfigurationVersion rejected, String reason) {}
