package org.cyclamenpaddle.routing.expect;

import static org.cyclamenpaddle.routing.Fixtures.SERVICE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.cyclamenpaddle.core.id.TeamName;
import org.testng.annotations.Test;

public class OutputLengthEstimatorTest {

    private static final TeamName SHORT = new TeamName("brief");
    private static final TeamName LONG = new TeamName("long");
    private static final TeamName NEW = new TeamName("new");

    private static OutputLengthEstimator learned() {
        OutputLengthEstimator estimator = new OutputLengthEstimator(0.5, 16);
        for (int i = 0; i < 100; i++) {
            estimator.completed(SERVICE, SHORT, 20);
            estimator.completed(SERVICE, LONG, 400);
        }
        estimator.completed(SERVICE, LONG, 400);
        return estimator;
    }

    private static void assertNear(int actual, int expected) {
        assertTrue(
                Math.abs(actual - expected) <= expected / 8 + 1, actual + " not near " + expected);
    }

    @Test
    public void teamThenServiceThenBound() {
        assertNear(learned().expectedTokens(SERVICE, SHORT, 1_000), 20);
        assertNear(learned().expectedTokens(SERVICE, NEW, 1_000), 400);
        assertEquals(new OutputLengthEstimator(0.5, 1).expectedTokens(SERVICE, NEW, 77), 77);
    }

    @Test
    public void neverAboveCallersBound() {
        assertEquals(learned().expectedTokens(SERVICE, LONG, 64), 64);
    }

    @Test
    public void dropsOldLengths() {
        OutputLengthEstimator estimator = learned();
        for (int i = 0; i < 2_000; i++) {
            estimator.completed(SERVICE, SHORT, 100);
        }
        assertNear(estimator.expectedTokens(SERVICE, SHORT, 1_000), 100);
    }

    @Test
    public void memoryIsBounded() {
        OutputLengthEstimator estimator = new OutputLengthEstimator(0.5, 2);
        for (int i = 0; i < 30; i++) {
            estimator.completed(SERVICE, SHORT, 20);
        }
        for (int i = 0; i < 30; i++) {
            estimator.completed(SERVICE, LONG, 400);
        }
        assertTrue(
                estimator.expectedTokens(SERVICE, SHORT, 1_000) > 19, "falls back to the service");
        assertNear(estimator.expectedTokens(SERVICE, LONG, 1_000), 400);
    }
}
