/**
 * Versions of a configuration that all edge nodes share, agreed by a quorum of configuration
 * servers: which version is proposed, which is active, and under which lease a node may act on it.
 *
 * <p>Three state machines without I/O, threads or a clock of their own: {@link
 * saltlatch.configuration.ConfigurationRegister} is replicated by the quorum, {@link
 * saltlatch.configuration.ActivationCoordinator} lives in the quorum's leader, {@link
 * saltlatch.configuration.ConfigurationFollower} in each edge node. Each is owned by one thread,
 * which passes the time in with every call.
 *
 * <p>Not wired into {@code serve}: nothing outside {@code saltlatch.wire.configuration} and the
 * tests calls this package. The servers of the quorum, the nodes' renewals over HTTP and the
 * application of a configuration to a running gateway are open issues that build on it;
 * docs/rules-design.md has the reasons. It may import {@code saltlatch.api} alone.
 */
package saltlatch.configuration;
