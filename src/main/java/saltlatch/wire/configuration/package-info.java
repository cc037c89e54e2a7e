/**
 * Codecs for the JSON formats of shared configurations, of the nodes' lease renewals and of the
 * quorum's responses.
 *
 * <p>Only this package contains the keys and words of these formats; it maps them to the terms of
 * {@code saltlatch.configuration}. May import that package, {@code saltlatch.api} and {@code
 * saltlatch.wire}. Stateless and callable from any thread. So far only tests call it: the quorum
 * servers and the renewals over HTTP are open issues.
 */
package saltlatch.wire.configuration;
