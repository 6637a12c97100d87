package org.cyclamenpaddle.routing.limit;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.cyclamenpaddle.core.id.HostId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when an owner that has failed is asked again. */
public class OwnerChoiceTest {

    private static final HostId OWNER = new HostId("owner");
    private static final HostId SELF = new HostId("self");
    private static final List<HostId> CANDIDATES = List.of(OWNER, SELF);
    private static final int FAILURES = 20;

    @DataProvider
    public Object[][] longestPauses() {
        return new Object[][] {
            {OwnerChoice.FailureKind.NO_RESPONSE, 1_000},
            {OwnerChoice.FailureKind.NO_CONNECTION, 400},
        };
    }

    /** Failure: hosts stay with deputies for seconds after the owner has returned. */
    @Test(dataProvider = "longestPauses")
    public void ownerIsAskedAgainAfterTheLongestPause(
            OwnerChoice.FailureKind kind, long longestMillis) {
        OwnerChoice choice = QuotaBorrower.owners();
        long now = 0;
        for (int i = 0; i < FAILURES; i++) {
            now += longestMillis;
            assertEquals(choice.choose(CANDIDATES, now), OWNER);
            choice.recordFailure(OWNER, kind, now);
        }
        assertEquals(choice.choose(CANDIDATES, now + longestMillis - 1), SELF);
    }

    /** Failure: a request that waits 300 ms gives up before the owner is asked again. */
    @Test
    public void firstPauseIsShort() {
        OwnerChoice choice = QuotaBorrower.owners();
        choice.recordFailure(OWNER, OwnerChoice.FailureKind.NO_RESPONSE, 200);
        assertEquals(choice.choose(CANDIDATES, 299), SELF);
        assertEquals(choice.choose(CANDIDATES, 300), OWNER);
    }
}
