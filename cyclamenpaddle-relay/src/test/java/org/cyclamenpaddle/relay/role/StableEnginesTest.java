package org.cyclamenpaddle.relay.role;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;
import org.testng.annotations.Test;

/** Tests when the set of a service's engines counts as stable. */
public class StableEnginesTest {

    private static final ServiceName SERVICE = new ServiceName("reader");
    private static final long WAIT_MILLIS = StableEngines.STABILIZATION_MILLIS;

    private final StableEngines mEngines = new StableEngines();

    private static Backend engine(String id) {
        return new Backend(
                new BackendId(id),
                1,
                SERVICE,
                "10.0.0.1",
                80,
                new FailureDomain("a"),
                SoftwareVersion.UNSPECIFIED,
                BackendStage.DECODE,
                64,
                false);
    }

    /**
     * The engines of a new deployment register within a second and a half. An allocation based on
     * the first two orders one of them to prefill and, a moment later, back.
     */
    @Test
    public void newEngineRestartsStabilization() {
        assertFalse(mEngines.isStable(SERVICE, List.of(engine("a"), engine("b")), 0));
        List<Backend> all = List.of(engine("a"), engine("b"), engine("c"));
        assertFalse(mEngines.isStable(SERVICE, all, WAIT_MILLIS - 1));
        assertFalse(mEngines.isStable(SERVICE, all, 2 * WAIT_MILLIS - 2));
        assertTrue(mEngines.isStable(SERVICE, all, 2 * WAIT_MILLIS - 1));
    }

    @Test
    public void removedEngineRestartsStabilization() {
        mEngines.isStable(SERVICE, List.of(engine("a"), engine("b")), 0);
        assertTrue(mEngines.isStable(SERVICE, List.of(engine("a"), engine("b")), WAIT_MILLIS));
        assertFalse(mEngines.isStable(SERVICE, List.of(engine("a")), WAIT_MILLIS + 1));
    }
}
