package org.cyclamenpaddle.routing.admission;

import static org.cyclamenpaddle.routing.Fixtures.attempt;
import static org.cyclamenpaddle.routing.Fixtures.backend;
import static org.cyclamenpaddle.routing.Fixtures.id;
import static org.cyclamenpaddle.routing.Fixtures.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.routing.placement.Candidate;
import org.testng.annotations.Test;

public class GrantAsksTest {

    private static final GrantRequestFactory ASKS = new GrantRequestFactory(30, 80);
    private static final long TRANSFER = 10;
    private static final long TOKEN = 20;

    @Test
    public void prefillAsksForUncachedTokensOnly() {
        GrantRequest ask =
                ASKS.prefill(attempt(1), request(1_000, 580), new Candidate(id(1), 0, 256), 500);

        assertEquals(ask.tokens(), 744);
        assertEquals(ask.latestInMillis(), 500 - 30);
    }

    @Test
    public void decodeSlotIsNeededFromEndOfPrefill() {
        GrantRequest ask =
                ASKS.decode(
                        attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20), 150, 500);

        assertEquals(ask.neededInMillis(), 150 - TRANSFER);
        assertEquals(ask.latestInMillis(), 500 - TRANSFER - TOKEN - 80);
        assertEquals(ask.holdMillis(), TRANSFER + 100 * TOKEN);
    }

    /**
     * A long prompt's caller still gets an answer. Its prefill ends so late that no margin for a
     * late slot is left; a slot that is free on time serves it, any later one does not.
     */
    @Test
    public void longPromptMayHaveSlotOnTime() {
        GrantRequest tight =
                ASKS.decode(
                        attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20), 430, 500);
        GrantRequest hopeless =
                ASKS.decode(
                        attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20), 460, 500);

        assertEquals(tight.latestInMillis(), tight.neededInMillis());
        assertEquals(hopeless.latestInMillis(), 500 - TRANSFER - TOKEN - 30);
        assertTrue(hopeless.latestInMillis() < hopeless.neededInMillis());
    }

    @Test
    public void lateSlotIsReplacedByOneThatIsFreeNow() {
        GrantRequest ask =
                ASKS.decodeNow(attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20));

        assertEquals(ask.neededInMillis(), 0);
        assertEquals(ask.latestInMillis(), 0);
    }
}
