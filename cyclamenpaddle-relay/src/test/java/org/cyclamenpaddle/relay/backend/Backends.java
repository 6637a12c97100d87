package org.cyclamenpaddle.relay.backend;

import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;

/** Creates backend servers for tests. */
final class Backends {

    static final ServiceName SERVICE = new ServiceName("reader");

    private Backends() {}

    static Backend decode(String id, String domain) {
        return of(id, domain, BackendStage.DECODE, 1, false);
    }

    static Backend ofVersion(String id, String version) {
        Backend server = decode(id, "a");
        return new Backend(
                server.id(),
                server.startedMillis(),
                server.service(),
                server.address(),
                server.port(),
                server.domain(),
                new SoftwareVersion(version),
                server.stage(),
                server.slots(),
                server.draining());
    }

    static Backend of(
            String id, String domain, BackendStage stage, long startedMillis, boolean draining) {
        return new Backend(
                new BackendId(id),
                startedMillis,
                SERVICE,
                "10.0.0.1",
                80,
                new FailureDomain(domain),
                SoftwareVersion.UNSPECIFIED,
                stage,
                64,
                draining);
    }
}
