package org.cyclamenpaddle.router.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.testng.annotations.Test;

public class DecisionLogTest {

    private final VirtualClock mClock = new VirtualClock(1_000);

    @Test
    public void tellsDecisionsInOrderWithTheTimeBetweenThem() {
        DecisionLog log = new DecisionLog(mClock, 2, 8);
        RequestId request = new RequestId("r-1");

        log.record(request, DecisionStep.ADMITTED, "first token in 310 ms");
        mClock.advance(40);
        log.record(request, DecisionStep.PLACED, "prefill p1, decode d1");

        Explanation explanation = log.explain(request).orElseThrow();
        assertEquals(
                explanation.decisions(),
                List.of(
                        new Decision(0, DecisionStep.ADMITTED, "first token in 310 ms"),
                        new Decision(40, DecisionStep.PLACED, "prefill p1, decode d1")));
        assertEquals(explanation.omitted(), 0);
    }

    @Test
    public void theOldestRequestMakesRoom() {
        DecisionLog log = new DecisionLog(mClock, 2, 8);

        for (int i = 0; i < 3; i++) {
            log.record(new RequestId("r-" + i), DecisionStep.TAKEN, "");
        }

        assertTrue(log.explain(new RequestId("r-0")).isEmpty());
        assertTrue(log.explain(new RequestId("r-1")).isPresent());
        assertTrue(log.explain(new RequestId("r-2")).isPresent());
    }

    @Test
    public void aRequestKeepsABoundedNumberAndCountsTheRest() {
        DecisionLog log = new DecisionLog(mClock, 2, 3);
        RequestId request = new RequestId("r-1");

        for (int i = 0; i < 5; i++) {
            log.record(request, DecisionStep.RETRIED, "try " + i);
        }

        Explanation explanation = log.explain(request).orElseThrow();
        assertEquals(explanation.decisions().size(), 3);
        assertEquals(explanation.omitted(), 2);
    }
}
