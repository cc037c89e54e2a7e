package saltlatch.configuration;

/**
 * The result of an operation on the {@link ConfigurationRegister}.
 *
 * @param status      the result's kind
 * @param description the result in words for operators: the version concerned, or the reason
 */
public record OperationResult(Status status, String description) {
  /** The kinds of results. */
  public enum Status {
    /** The configuration was proposed under a new version. */
    PROPOSED,
    /** The proposed version became active. */
    ACTIVATED,
    /** The proposed version was withdrawn. */
    REJECTED,
    /** The proposal is invalid; the state is unchanged. */
    REFUSED,
    /** The operation is for a version that is not proposed; the state is unchanged. */
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
