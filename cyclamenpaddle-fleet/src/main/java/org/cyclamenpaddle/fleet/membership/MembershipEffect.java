package org.cyclamenpaddle.fleet.membership;

import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;

/** What the process has to do on behalf of {@link Membership}. */
public sealed interface MembershipEffect {

    /**
     * Send a message over the usual connection; losing it is tolerated.
     *
     * @param to the receiver
     * @param message what to send
     */
    record SendTo(HostRecord to, PeerMessage message) implements MembershipEffect {}

    /**
     * Open a new connection, exchange {@code Hello} and report by {@link
     * Membership#onConnectionProbe}.
     *
     * <p>An existing connection proves nothing: it may be silent for good while new ones work. The
     * probe must end within {@link MembershipSettings#probeTimeoutMillis}; it counts as reachable
     * only if the very incarnation answered.
     *
     * @param target the host to try
     */
    record ProbeByNewConnection(HostRecord target) implements MembershipEffect {}

    /**
     * The view of a host changed; ownership and recovery have to be worked out again.
     *
     * @param host the host with its new state
     */
    record HostChanged(HostRecord host) implements MembershipEffect {}

    /**
     * A later life of this very host was heard of, so this process must take no more work.
     *
     * @param by the later incarnation
     */
    record Superseded(Incarnation by) implements MembershipEffect {}
}
