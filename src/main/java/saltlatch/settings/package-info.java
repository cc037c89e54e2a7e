/**
 * Decodes the settings of a deployment into typed, immutable values and maps their keys to the
 * field's terms, in {@link saltlatch.settings.SettingsReader} alone.
 *
 * <p>Imports {@code api} and the JSON parser. Called by a node's configuration reader and by the
 * simulator's host, once at the start and at each reload, from any thread.
 */
package saltlatch.settings;
