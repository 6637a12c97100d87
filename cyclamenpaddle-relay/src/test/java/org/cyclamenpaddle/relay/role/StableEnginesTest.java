package org.cyclamenpaddle.relay.role;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendStage;
import org.testng.annotations.Test;

/** Tests when a service's engines count as complete. */
public class StableEnginesTest {

    private static final ServiceName SERVICE = new ServiceName("reader");
    private static final long WAIT = StableEngines.SETTLED_MILLIS;

    private final StableEngines mEngines = new StableEngines();

    private static Backend engine(String id) {
        return new Backend(
                new BackendId(id),
                1,
                SERVICE,
                "10.0.0.1",
                80,
                new FailureDomain("a"),
                BackendStage.DECODE,
                64,
                false);
    }

    /*
     * Engines of a new deployment register within a second and a half. Whoever plans with the first
     * two orders one of them to prefill and a moment later back.
     */
    @Test
    public void eachEngineThatRegistersStartsTheWaitAgain() {
        assertFalse(mEngines.settled(SERVICE, List.of(engine("a"), engine("b")), 0));
        List<Backend> all = List.of(engine("a"), engine("b"), engine("c"));
        assertFalse(mEngines.settled(SERVICE, all, WAIT - 1));
        assertFalse(mEngines.settled(SERVICE, all, 2 * WAIT - 2));
        assertTrue(mEngines.settled(SERVICE, all, 2 * WAIT - 1));
    }

    @Test
    public void engineThatLeavesStartsTheWaitAgain() {
        mEngines.settled(SERVICE, List.of(engine("a"), engine("b")), 0);
        assertTrue(mEngines.settled(SERVICE, List.of(engine("a"), engine("b")), WAIT));
        assertFalse(mEngines.settled(SERVICE, List.of(engine("a")), WAIT + 1));
    }
}
