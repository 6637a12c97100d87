package org.cyclamenpaddle.standins.load;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.Test;

public class ReasonCountsTest {

    private static final String PAGE =
            """
            # HELP refusals_total Requests refused.
            # TYPE refusals_total counter
            refusals_total{host="a",reason="queue-full"} 3.0
            refusals_total{reason="stopping"} 1.0
            refusals_total_created{reason="stopping"} 9.0
            retries_total{reason="queue-full"} 7.0
            """;

    @Test
    public void countersOfOneMetricAreReadByReason() {
        ReasonCounts counts = ReasonCounts.parse(PAGE, "refusals_total");
        assertEquals(counts.values(), Map.of("queue-full", 3L, "stopping", 1L));
    }

    @Test
    public void differenceOmitsUnchangedReasons() {
        ReasonCounts before = ReasonCounts.parse(PAGE, "refusals_total");
        ReasonCounts after = before.plus(new ReasonCounts(Map.of("queue-full", 2L, "new", 1L)));
        assertEquals(after.since(before).values(), Map.of("queue-full", 2L, "new", 1L));
    }
}
