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

public class GrantRequestFactoryTest {

    private static final GrantRequestFactory REQUESTS = new GrantRequestFactory(30, 80);
    private static final long TRANSFER = 10;
    private static final long TOKEN = 20;

    @Test
    public void prefillRequestsUncachedTokensOnly() {
        GrantRequest grantRequest =
                REQUESTS.prefill(
                        attempt(1), request(1_000, 580), new Candidate(id(1), 0, 256), 500);

        assertEquals(grantRequest.tokens(), 744);
        assertEquals(grantRequest.latestInMillis(), 500 - 30);
    }

    @Test
    public void decodeSlotIsNeededFromEndOfPrefill() {
        GrantRequest grantRequest =
                REQUESTS.decode(
                        attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20), 150, 500);

        assertEquals(grantRequest.neededInMillis(), 150 - TRANSFER);
        assertEquals(grantRequest.latestInMillis(), 500 - TRANSFER - TOKEN - 80);
        assertEquals(grantRequest.holdMillis(), TRANSFER + 100 * TOKEN);
    }

    /**
     * The prefill of a long prompt ends so late that no margin for a late slot is left. The request
     * must still get a slot that is free on time, but no later one.
     */
    @Test
    public void longPromptMayGetSlotThatIsFreeOnTime() {
        GrantRequest tight =
                REQUESTS.decode(
                        attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20), 430, 500);
        GrantRequest unreachable =
                REQUESTS.decode(
                        attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20), 460, 500);

        assertEquals(tight.latestInMillis(), tight.neededInMillis());
        assertEquals(unreachable.latestInMillis(), 500 - TRANSFER - TOKEN - 30);
        assertTrue(unreachable.latestInMillis() < unreachable.neededInMillis());
    }

    @Test
    public void lateSlotIsReplacedByOneThatIsFreeNow() {
        GrantRequest grantRequest =
                REQUESTS.decodeNow(attempt(1), request(1_000, 580), backend(2, 20), backend(1, 20));

        assertEquals(grantRequest.neededInMillis(), 0);
        assertEquals(grantRequest.latestInMillis(), 0);
    }
}
