package org.cyclamenpaddle.fleet.membership;

import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;

/** Actions that the process performs on behalf of {@link Membership}. */
public sealed interface MembershipEffect {

    /**
     * Send a message over the existing connection; message loss is tolerated.
     *
     * @param to the receiver
     * @param message what to send
     */
    record SendTo(HostRecord to, PeerMessage message) implements MembershipEffect {}

    /**
     * Open a new connection, exchange {@code Hello} and report by {@link
     * Membership#onConnectionProbe}.
     *
     * <p>An existing connection proves nothing: it may stay silent forever while new ones work. The
     * probe must end within {@link MembershipSettings#probeTimeoutMillis}; the host counts as
     * reachable only if exactly this incarnation responded.
     *
     * @param target the host to probe
     */
    record ProbeByNewConnection(HostRecord target) implements MembershipEffect {}

    /**
     * The state of a host changed; ownership and recovery must be re-evaluated.
     *
     * @param host the host with its new state
     */
    record HostChanged(HostRecord host) implements MembershipEffect {}

    /**
     * A later incarnation of this host exists, so this process must not accept further work.
     *
     * @param by the later incarnation
     */
    record Superseded(Incarnation by) implements MembershipEffect {}
}
