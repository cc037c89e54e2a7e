package saltlatch.configuration;

/**
 * The quorum's response to a {@link LeaseRenewal}: its state at one point in time after the renewal
 * was sent.
 *
 * @param activeVersion the active version; {@link ConfigurationVersion#NONE} before the first
 *     activation
 * @param active        the configuration of that version; null if the node already has it
 * @param proposed      the configuration that waits for activation; null if there is none
 */
public record LeaseResponse(ConfigurationVersion activeVersion, SharedConfiguration active,
    SharedConfiguration proposed) {}
