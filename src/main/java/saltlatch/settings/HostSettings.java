package saltlatch.settings;

import java.util.List;

/**
 * What of the settings only a host with sockets needs, beside what the policy does. Times are
 * ticks.
 *
 * @param connectTimeoutTicks  for an app server's connection to come up, also a health check's
 *     whole time
 * @param connectionIdleTicks  after which an idle connection to an app server is closed
 * @param counterTimeoutTicks  for an answer of the counter, unless the policy allows more
 * @param gossipAllowed        whether nodes may send each other datagrams
 * @param maxRequestUnits      the largest estimate that a request may come with
 * @param loadReportFields     the fields of app servers' load reports, in the policy's order
 * @param requestClassNames    by the number that the policy knows each by, as the next three
 */
public record HostSettings(long connectTimeoutTicks, long connectionIdleTicks,
    long counterTimeoutTicks, boolean gossipAllowed, double maxRequestUnits,
    List<String> loadReportFields, List<String> requestClassNames, List<String> quotaPlanNames,
    List<String> zoneNames, List<String> machineTypeNames) {}
