/**
 * The JSON form of shared configurations, of the nodes' lease renewals and of the quorum's
 * responses.
 *
 * <p>The only place that knows the form's keys and words; they are mapped here to the terms of
 * {@code saltlatch.configuration}. It may import that package, {@code saltlatch.api} and {@code
 * saltlatch.wire}. Stateless, for any thread. Only tests call it so far: the servers of the quorum
 * and the renewals over HTTP are open issues.
 */
package saltlatch.wire.configuration;
