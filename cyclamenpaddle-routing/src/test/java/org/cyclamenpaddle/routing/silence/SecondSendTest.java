package org.cyclamenpaddle.routing.silence;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Stream;
import org.cyclamenpaddle.routing.silence.SecondSend.Request;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when a request whose server is silent may be sent to a second server. */
public class SecondSendTest {

    private static final Request ALL_ALLOW = new Request(true, true, false, 400, 400);

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {ALL_ALLOW, OtherServers.AVAILABLE, SecondSend.ALLOWED},
            {ALL_ALLOW, OtherServers.SILENT, SecondSend.OTHERS_SILENT},
            {ALL_ALLOW, OtherServers.NONE, SecondSend.NO_OTHER_SERVER},
            {
                new Request(false, true, false, 400, 400),
                OtherServers.AVAILABLE,
                SecondSend.NOT_REPEATABLE
            },
            {
                new Request(true, false, false, 400, 400),
                OtherServers.AVAILABLE,
                SecondSend.NO_ATTEMPTS
            },
            {
                new Request(true, true, true, 400, 400),
                OtherServers.AVAILABLE,
                SecondSend.PARTLY_FORWARDED
            },
            {new Request(true, true, false, 399, 400), OtherServers.AVAILABLE, SecondSend.NO_TIME},
        };
    }

    /**
     * Each condition alone prevents a second send; a missed one runs a request in vain or twice.
     */
    @Test(dataProvider = "requests")
    public void eachConditionPreventsASecondSend(
            Request request, OtherServers others, SecondSend expected) {
        assertEquals(SecondSend.decide(request, others), expected);
    }

    /** A request that may not run twice is sent again because some other state is favorable. */
    @Test
    public void requestThatMayNotRunTwiceIsNeverSentToASecondServer() {
        for (OtherServers others : OtherServers.values()) {
            for (int bits = 0; bits < 8; bits++) {
                Request request =
                        new Request(
                                false,
                                (bits & 1) == 0,
                                (bits & 2) == 0,
                                (bits & 4) == 0 ? 0 : 10_000,
                                400);
                assertEquals(SecondSend.decide(request, others), SecondSend.NOT_REPEATABLE);
            }
        }
    }

    /**
     * A decision that can change is not taken again, so that a request stays at a server that is
     * silent for good after others have become available; or one that cannot change is taken again
     * until the timeout.
     */
    @Test
    public void decisionsOnServersAndBudgetMayChange() {
        Set<SecondSend> changing =
                EnumSet.of(
                        SecondSend.ALLOWED,
                        SecondSend.NO_OTHER_SERVER,
                        SecondSend.OTHERS_SILENT,
                        SecondSend.NO_BUDGET,
                        SecondSend.NO_ROOM);
        Stream.of(SecondSend.values())
                .forEach(
                        decision ->
                                assertEquals(
                                        decision.mayChange(),
                                        changing.contains(decision),
                                        decision.name()));
    }

    @Test
    public void decisionIsLoggedInWords() {
        assertEquals(SecondSend.OTHERS_SILENT.text(), "others silent");
        assertEquals(
                Stream.of(SecondSend.values()).map(SecondSend::text).distinct().count(),
                SecondSend.values().length);
        assertTrue(
                Stream.of(SecondSend.values())
                        .map(SecondSend::text)
                        .allMatch(text -> text.matches("[a-z ]+")));
        assertFalse(SecondSend.NOT_REPEATABLE.text().contains("_"));
    }
}
