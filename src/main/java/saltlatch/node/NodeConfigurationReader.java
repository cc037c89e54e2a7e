package saltlatch.node;

import com.google.gson.JsonElement;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import saltlatch.api.GatewaySettings;
import saltlatch.settings.InvalidSettingException;
import saltlatch.settings.JsonSection;
import saltlatch.settings.SettingsReader;
import saltlatch.wire.discovery.EndpointList;
import saltlatch.wire.transport.TcpConnector;

/**
 * Decodes a node's configuration file. It is the only class that defines the file's keys, except
 * for those of the settings, which {@link SettingsReader} decodes, and of the endpoint list, which
 * {@link EndpointList} decodes.
 */
public final class NodeConfigurationReader {
  private static final List<String> REQUIRED_KEYS = List.of("name", "seed", "listen", "discovery",
      "settings", "limits", "known");
  private static final int HEXADECIMAL = 16;

  private NodeConfigurationReader() {}

  /**
   * Decodes a configuration's JSON text. Runs on the main thread at the start, and on a worker
   * thread for a reload.
   *
   * @throws RuntimeException if the text is not a JSON object; {@link InvalidSettingException} if a
   *     key is missing or has an invalid value
   */
  public static NodeConfiguration read(String text) {
    JsonSection file = JsonSection.parse(text);
    for (String key : REQUIRED_KEYS) {
      if (!file.has(key)) throw InvalidSettingException.missing(key);
    }
    ResourceLimits resourceLimits = resourceLimits(file.section("limits"));
    NodeConfiguration.Addresses addresses = addresses(file);
    boolean membershipEnabled = file.flag("membership");
    long seed = file.required("seed", "hexadecimal number",
        value -> Long.parseUnsignedLong(value.getAsString(), HEXADECIMAL));
    JsonSection settingsSection = file.section("settings");
    GatewaySettings settings = SettingsReader.read(settingsSection, seed);
    if (membershipEnabled) requirePeers(settings, addresses);
    Path historyDirectory = file.has("history")
        ? Path.of(file.required("history", "string", JsonElement::getAsString)) : null;
    EndpointList cachedEndpoints = file.required("known", "endpoint list",
        value -> EndpointList.decode(value.getAsJsonObject()));
    return new NodeConfiguration(file.text("name"), addresses, resourceLimits, historyDirectory,
        membershipEnabled, cachedEndpoints, SettingsReader.readHostSettings(settingsSection),
        settings);
  }

  private static ResourceLimits resourceLimits(JsonSection limits) {
    int descriptors = limits.requiredInt("sockets");
    if (descriptors < ResourceLimits.MIN_DESCRIPTORS) {
      throw new InvalidSettingException("limits.sockets must be at least "
          + ResourceLimits.MIN_DESCRIPTORS + ", but is " + descriptors);
    }
    return new ResourceLimits(limits.requiredInt("memory_mb"), descriptors);
  }

  private static NodeConfiguration.Addresses addresses(JsonSection file) {
    List<SocketAddress> peers = file.texts("peers").stream().map(TcpConnector::parseAddress)
        .toList();
    return new NodeConfiguration.Addresses(address(file, "listen"), address(file, "discovery"),
        address(file, "counter"), address(file, "peer_listen"), peers, address(file, "peers_all"));
  }

  private static SocketAddress address(JsonSection file, String key) {
    if (!file.hasValue(key)) return null;
    return file.required(key, "address", value -> TcpConnector.parseAddress(value.getAsString()));
  }

  private static void requirePeers(GatewaySettings settings,
      NodeConfiguration.Addresses addresses) {
    double datagramsPerSecond = settings.peers().datagramsPerSecond();
    if (datagramsPerSecond > 0 && addresses.peers().size() == settings.nodeCount()
        && addresses.peerListen() != null) {
      return;
    }
    throw new InvalidSettingException(
        "membership requires peer_listen, an address in peers for each of the "
            + settings.nodeCount()
            + " nodes, and mayTell with peerInPerS above 0; found peer_listen "
            + (addresses.peerListen() == null ? "missing" : "set") + ", " + addresses.peers().size()
            + " addresses in peers, and " + datagramsPerSecond + " datagrams per second");
  }
}
