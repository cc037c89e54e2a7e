package saltlatch.settings;

import java.util.List;

/**
 * The settings that only a host with sockets needs, in addition to those of the policy. Times are
 * in ticks.
 *
 * @param connectTimeoutTicks  timeout for connecting to an app server, and for a complete health
 *     check
 * @param connectionIdleTicks  idle time after which a connection to an app server is closed
 * @param counterTimeoutTicks  timeout for a reply of the counter, unless the policy allows more
 * @param gossipAllowed        whether nodes may send each other datagrams
 * @param maxRequestUnits      the largest number of units that a request may estimate
 * @param loadReportFields     the fields of app servers' load reports, in the policy's order
 * @param requestClassNames    the name of each request class; its index is the policy's number
 * @param quotaPlanNames       the name of each quota plan; its index is the policy's number
 * @param zoneNames            the name of each zone; its index is the policy's number
 * @param machineTypeNames     the name of each machine type; its index is the policy's number
 */
public record HostSettings(long connectTimeoutTicks, long connectionIdleTicks,
    long counterTimeoutTicks, boolean gossipAllowed, double maxRequestUnits,
    List<String> loadReportFields, List<String> requestClassNames, List<String> quotaPlanNames,
    List<String> zoneNames, List<String> machineTypeNames) {}
