package saltlatch.configuration;

/**
 * What became of an operation on the {@link ConfigurationRegister}.
 *
 * @param status      how it ended
 * @param description the same for people: the version concerned, or the reason
 */
public record OperationResult(Status status, String description) {
  /** How an operation ended. */
  public enum Status {
    /** The configuration is proposed under a new version. */
    PROPOSED,
    /** The proposed version is active. */
    ACTIVATED,
    /** The proposed version is withdrawn. */
    REJECTED,
    /** The proposal is not taken, and nothing has changed. */
    REFUSED,
    /** The operation concerns a version that is no longer proposed, and nothing has changed. */
    STALE
  }

  static OperationResult proposed(ConfigurationVersion version) {
    return new OperationResult(Status.PROPOSED, "offered " + version);
  }

  static OperationResult activated(ConfigurationVersion version) {
    return new OperationResult(Status.ACTIVATED, "in force " + version);
  }

  static OperationResult rejected(ConfigurationVersion version) {
    return new OperationResult(Status.REJECTED, "rejected " + version);
  }

  static OperationResult refused(String reason) {
    return new OperationResult(Status.REFUSED, "refused: " + reason);
  }

  static OperationResult stale(ConfigurationVersion version) {
    return new OperationResult(Status.STALE, "old: " + version + " is not offered");
  }
}
