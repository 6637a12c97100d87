package org.cyclamenpaddle.router.grant;

import java.util.Collection;
import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.message.HostRecord;

/** This host's view of the entry hosts. */
public interface HostView {

    /** Returns this host's own record. */
    HostRecord self();

    /** Returns the hosts that are alive and not leaving, this one included. */
    Collection<HostRecord> alive();

    /** Returns the host that owns a backend server's ledger; empty if no host is eligible. */
    Optional<HostRecord> owner(BackendSpec backend);

    /** Returns whether this host owns a backend server's ledger. */
    default boolean owns(BackendSpec backend) {
        return owner(backend)
                .filter(host -> host.incarnation().equals(self().incarnation()))
                .isPresent();
    }
}
