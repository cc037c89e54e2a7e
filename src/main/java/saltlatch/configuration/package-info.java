/**
 * Versions of a configuration that all edge nodes share and on which a quorum of configuration
 * servers agrees: which version is proposed, which one is active, and under which lease a node may
 * act on it.
 *
 * <p>Consists of three state machines that do no I/O, start no threads and read no clock: the
 * quorum replicates {@link saltlatch.configuration.ConfigurationRegister}, the quorum's leader runs
 * {@link saltlatch.configuration.ActivationCoordinator}, and each edge node runs {@link
 * saltlatch.configuration.ConfigurationFollower}. Each is owned by one thread, which passes the
 * current time to each call that depends on it.
 *
 * <p>{@code serve} does not use this package; only {@code saltlatch.wire.configuration} and tests
 * call it. Still missing are the servers of the quorum, the nodes' renewals over HTTP, and the
 * application of a configuration to a running gateway; docs/rules-design.md gives the reasons. May
 * import only {@code saltlatch.api}.
 */
package saltlatch.configuration;
