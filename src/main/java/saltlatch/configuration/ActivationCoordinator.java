package saltlatch.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the leading keeper makes of the nodes' reports: when what is offered comes into force, is
 * rejected, or for whom it waits. Its memory is its own: a keeper that has just begun to lead has
 * heard nobody and decides nothing for as long as a lease given before may last. No I/O.
 */
public final class ActivationCoordinator {
  private record Heard(ConfigurationFollower.Report report, long at) {}

  /** A node as {@code rules status} shows it. */
  public record Seen(String node, ConfigurationVersion acts, ConfigurationVersion prepared,
      String reason, long silentFor, boolean live) {}

  private final LeaseTimings terms;
  private final Map<String, Heard> heard = new TreeMap<>();
  private long leadsSince;

  public ActivationCoordinator(LeaseTimings terms, long now) {
    this.terms = terms;
    leadsSince = now;
  }

  /** Leads from now on: what it heard before is forgotten. */
  public void leads(long now) {
    heard.clear();
    leadsSince = now;
  }

  public void reported(long now, ConfigurationFollower.Report r) {
    heard.put(r.node(), new Heard(r, now));
  }

  /** May still hold a lease, so must have prepared what comes into force. */
  private boolean isLive(Heard h, long now) {
    return now - h.at <= terms.leaseOver();
  }

  /**
   * For whom what is offered waits: live nodes that have not prepared it and, where it says so, all
   * of the roster.
   */
  public List<String> waitsFor(long now, SharedConfiguration inForce, SharedConfiguration offered) {
    List<String> out = new ArrayList<>();
    heard.forEach((node, h) -> {
      if (isLive(h, now) && !h.report.prepared().equals(offered.version())) out.add(node);
    });
    boolean all = inForce != null && (inForce.expired() == SharedConfiguration.Expired.WAIT
        // a new epoch breaks pins that nodes without a lease go by
        || offered.version().epoch() > inForce.version().epoch());
    if (!all) return out;
    for (String node : inForce.roster()) {
      Heard h = heard.get(node);
      boolean ready = h != null && h.report.prepared().equals(offered.version());
      if (!ready && !out.contains(node)) out.add(node);
    }
    return out;
  }

  /** The operation that is due on what is offered; null: it waits. */
  public ConfigurationRegister.Op due(long now, SharedConfiguration inForce,
      SharedConfiguration offered) {
    if (offered == null) return null;
    for (Heard h : heard.values()) {
      if (offered.version().equals(h.report.rejected())) {
        return new ConfigurationRegister.Op.Reject(offered.version(), h.report.node(),
            h.report.reason());
      }
    }
    if (now - leadsSince <= terms.leaseOver()) return null;
    return waitsFor(now, inForce, offered).isEmpty()
        ? new ConfigurationRegister.Op.Activate(offered.version()) : null;
  }

  public List<Seen> seen(long now) {
    List<Seen> out = new ArrayList<>();
    heard.forEach((node, h) -> out.add(new Seen(node, h.report.acts(), h.report.prepared(),
        h.report.reason(), now - h.at, isLive(h, now))));
    return out;
  }
}
