package org.cyclamenpaddle.relay.backend;

import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;

/**
 * Describes a backend server according to its entry in the store.
 *
 * @param id identifies one start of the server
 * @param startedMillis wall clock time at which the server reports to have started; distinguishes
 *     two incarnations with the same id
 * @param service the service
 * @param address IP address
 * @param port TCP port
 * @param domain its failure domain
 * @param version version of its software
 * @param stage stage that the server performs
 * @param slots maximum number of concurrent requests
 * @param draining whether the server has announced its shutdown
 */
public record Backend(
        BackendId id,
        long startedMillis,
        ServiceName service,
        String address,
        int port,
        FailureDomain domain,
        SoftwareVersion version,
        BackendStage stage,
        int slots,
        boolean draining) {

    private static final int MAX_PORT = 65_535;

    public Backend {
        if (id == null || service == null || address == null || domain == null) {
            throw new IllegalArgumentException(
                    "backend server needs an id, service, address and domain");
        }
        if (version == null || stage == null) {
            throw new IllegalArgumentException("backend server needs a version and a stage");
        }
        if (port < 1 || port > MAX_PORT || slots < 1) {
            throw new IllegalArgumentException(
                    "backend server " + id + " has port " + port + " and " + slots + " slots");
        }
    }

    /** Returns whether this entry and another describe the same incarnation of a server. */
    public boolean sameIncarnation(Backend other) {
        return id.equals(other.id) && startedMillis == other.startedMillis;
    }

    /** Returns a copy of this entry with another stage. */
    public Backend withStage(BackendStage other) {
        return new Backend(
                id, startedMillis, service, address, port, domain, version, other, slots, draining);
    }

    /** Returns the address and port, separated by a colon. */
    public String endpoint() {
        return address + ":" + port;
    }
}
