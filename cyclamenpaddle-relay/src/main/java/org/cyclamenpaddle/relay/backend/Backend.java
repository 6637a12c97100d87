package org.cyclamenpaddle.relay.backend;

import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * A backend server as its entry in the store describes it.
 *
 * @param id names one start of the server
 * @param startedMillis wall clock time of its start as it says itself; tells two lives of one id
 *     apart
 * @param service the service
 * @param address IP number
 * @param port TCP port
 * @param domain its failure domain
 * @param stage what it takes
 * @param slots requests that it runs at once
 * @param draining whether it has announced its end
 */
public record Backend(
        BackendId id,
        long startedMillis,
        ServiceName service,
        String address,
        int port,
        FailureDomain domain,
        BackendStage stage,
        int slots,
        boolean draining) {

    private static final int MAX_PORT = 65_535;

    public Backend {
        if (id == null || service == null || address == null || domain == null || stage == null) {
            throw new IllegalArgumentException("backend server lacks a field");
        }
        if (port < 1 || port > MAX_PORT || slots < 1) {
            throw new IllegalArgumentException(
                    "backend server " + id + " has port " + port + " and " + slots + " slots");
        }
    }

    /** Returns whether this entry and another describe the same life of the same server. */
    public boolean sameIncarnation(Backend other) {
        return id.equals(other.id) && startedMillis == other.startedMillis;
    }

    /** Returns this entry with another stage. */
    public Backend withStage(BackendStage other) {
        return new Backend(
                id, startedMillis, service, address, port, domain, other, slots, draining);
    }

    /** Returns the address with its port. */
    public String endpoint() {
        return address + ":" + port;
    }
}
