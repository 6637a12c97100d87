package org.cyclamenpaddle.relay.crash;

import org.cyclamenpaddle.core.message.CrashMessage;

/**
 * Sends what is known of crashing requests to other hosts, without confirmation.
 *
 * <p>Each subject, a request or the parts of the prompts of a service, has few owners among the
 * hosts, which collect its strikes. So the strikes of the many requests that lose one server are
 * sent to a few hosts each, and only a quarantine is sent to all.
 */
public interface StrikePeers {

    /** Returns the number of hosts. */
    int hostCount();

    /** Returns whether this host is an owner of a subject. */
    boolean isOwner(String subject);

    /** Sends a message to the other owners of a subject. */
    void sendToOwners(String subject, CrashMessage message);

    /** Sends a message to all other hosts. */
    void sendToAll(CrashMessage message);
}
