package saltlatch.settings;

import java.util.List;

/**
 * Settings that only the host needs, which is the part of a node that does network I/O. The policy
 * does not read them. Times are in ticks.
 *
 * @param connectTimeoutTicks  timeout for connecting to an app server, and for a health check from
 *     its start to its reply
 * @param connectionIdleTicks  idle time after which a connection to an app server is closed
 * @param counterTimeoutTicks  minimum timeout for a reply of the counter; a call for which the
 *     policy sets a longer timeout uses that one
 * @param gossipAllowed        whether nodes may send each other datagrams
 * @param maxRequestUnits      maximum number of units that a client may estimate for a request
 * @param loadReportFields     names of the fields in app servers' load reports, in the order in
 *     which the policy receives their values
 * @param requestClassNames    names of the request classes; the policy uses the index of a name
 * @param quotaPlanNames       names of the quota plans; the policy uses the index of a name
 * @param zoneNames            names of the zones; the policy uses the index of a name
 * @param machineTypeNames     names of the machine types; the policy uses the index of a name
 */
public record HostSettings(long connectTimeoutTicks, long connectionIdleTicks,
    long counterTimeoutTicks, boolean gossipAllowed, double maxRequestUnits,
    List<String> loadReportFields, List<String> requestClassNames, List<String> quotaPlanNames,
    List<String> zoneNames, List<String> machineTypeNames) {}
