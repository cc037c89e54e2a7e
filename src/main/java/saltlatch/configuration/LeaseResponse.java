package saltlatch.configuration;

/**
 * The quorum's answer to a {@link LeaseRenewal}, as of one moment after the renewal was sent.
 *
 * @param activeVersion the active version, {@link ConfigurationVersion#NONE} before the first
 * @param active        its configuration; null where the node has it already
 * @param proposed      the configuration that waits for activation; null if there is none
 */
public record LeaseResponse(ConfigurationVersion activeVersion, SharedConfiguration active,
    SharedConfiguration proposed) {}
