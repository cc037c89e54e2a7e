/**
 * Fleet membership of the edge nodes: which of them are live (SWIM with the Lifeguard extensions),
 * and which part of a quota each may use while the counter is silent (leases and shares).
 *
 * <p>A state machine apart from I/O: datagrams and ticks go in, datagrams and changes come out. No
 * class here reads a clock, opens a socket or starts a thread. It may import {@code saltlatch.api}
 * only. Times are {@link saltlatch.api.Ticks ticks} unless a name says otherwise.
 *
 * <p>Wired in only where the configuration's {@code membership} key is set: {@code
 * saltlatch.node.MembershipAdapter} then runs one {@link saltlatch.membership.Membership} on the
 * node's event loop, sends its datagrams by {@code saltlatch.wire.peer.MembershipCodec}, and hands
 * its {@code MembershipChanged} events to the policy, which keeps a {@link
 * saltlatch.membership.QuotaShares}. Without the key none of these classes is loaded, and shares
 * are learned. Not wired in: members are fixed by the configuration, so that none can join or be
 * replaced while a node runs; the {@link saltlatch.membership.FleetView} decides nothing. The lab's
 * capacity pages use {@link saltlatch.membership.MembershipTimings} without a fleet.
 *
 * <p>Owner of each object is its one caller, on that caller's thread.
 */
package saltlatch.membership;
