/**
 * Decodes the settings of a deployment into typed, immutable values. Only {@link
 * saltlatch.settings.SettingsReader} maps the keys of the settings to the names that the code uses.
 *
 * <p>Imports {@code api} and the JSON parser. Called by a node's configuration reader at the start
 * and at each reload, and by the simulator's host for each instance, from any thread.
 */
package saltlatch.settings;
