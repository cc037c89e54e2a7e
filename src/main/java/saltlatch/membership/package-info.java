/**
 * Fleet membership of the edge nodes: which nodes are live (SWIM with the Lifeguard extensions),
 * and which share of a quota each node may use while the counter does not answer (leases and
 * shares).
 *
 * <p>The package is a state machine without I/O: its inputs are datagrams and ticks, its outputs
 * datagrams and state changes. No class reads a clock, opens a socket or starts a thread. The
 * package may import {@code saltlatch.api} only. Times are {@link saltlatch.api.Ticks ticks} unless
 * a name gives another unit.
 *
 * <p>It is used only if the configuration's {@code membership} key is set. {@code
 * saltlatch.node.MembershipAdapter} then runs one {@link saltlatch.membership.Membership} on the
 * node's event loop, encodes its datagrams with {@code saltlatch.wire.peer.MembershipCodec}, and
 * passes its {@code MembershipChanged} events to the policy, which holds a {@link
 * saltlatch.membership.QuotaShares}. Without the key none of these classes is loaded, and shares
 * are learned. Members are fixed by the configuration: none can join or be replaced while a node
 * runs. {@link saltlatch.membership.FleetView} has no effect on decisions. The lab's capacity pages
 * use {@link saltlatch.membership.MembershipTimings} without a fleet.
 *
 * <p>Each object is owned by its single caller and used only on that caller's thread.
 */
package saltlatch.membership;
