package org.cyclamenpaddle.routing.admission;

import static org.cyclamenpaddle.routing.Fixtures.attempt;
import static org.cyclamenpaddle.routing.Fixtures.backend;
import static org.cyclamenpaddle.routing.Fixtures.id;
import static org.cyclamenpaddle.routing.Fixtures.request;
import static org.testng.Assert.assertEquals;

import org.cyclamenpaddle.core.message.GrantAsk;
import org.cyclamenpaddle.routing.placement.Candidate;
import org.testng.annotations.Test;

public class GrantAsksTest {

    private static final GrantAsks ASKS = new GrantAsks(80);
    private static final long TRANSFER = 10;
    private static final long TOKEN = 20;

    @Test
    public void prefillAsksForUncachedTokensOnly() {
        GrantAsk ask =
                ASKS.prefill(attempt(1), request(1_000, 580), new Candidate(id(1), 0, 256), 500);

        assertEquals(ask.tokens(), 744);
        assertEquals(ask.latestInMillis(), 500 - 80);
    }

    @Test
    public void decodeSlotIsNeededFromEndOfPrefill() {
        GrantAsk ask =
                ASKS.decode(
                        attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20), 150, 500);

        assertEquals(ask.neededInMillis(), 150 - TRANSFER);
        assertEquals(ask.latestInMillis(), 500 - TRANSFER - TOKEN - 80);
        assertEquals(ask.holdMillis(), TRANSFER + 100 * TOKEN);
    }

    @Test
    public void lateSlotIsReplacedByOneThatIsFreeNow() {
        GrantAsk ask =
                ASKS.decodeNow(attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20));

        assertEquals(ask.neededInMillis(), 0);
        assertEquals(ask.latestInMillis(), 0);
    }
}
