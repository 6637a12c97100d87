package org.cyclamenpaddle.routing.reservation;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.cyclamenpaddle.routing.memory.RunningGeneration;
import org.testng.annotations.Test;

/** Tests the urgency of a request and the memory that it leaves for more urgent ones. */
public class UrgencyTest {

    private static final CallerLimits LIMITS = new CallerLimits(1_000, 4_000);
    private static final OptionalLong AVERAGE = OptionalLong.of(6_000);

    /** Guards against counting routes instead of priorities: many routes share a few of them. */
    @Test
    public void prioritiesAreCountedOnce() {
        List<Integer> service = List.of(7, 7, 0, 3, 3, 3);
        assertEquals(Urgency.of(0, service), new Urgency(0, 0, 2));
        assertEquals(Urgency.of(3, service), new Urgency(3, 1, 1));
        assertEquals(Urgency.of(7, service), new Urgency(7, 2, 0));
        assertEquals(Urgency.of(7, service).level(), Urgency.Level.LOWEST);
        assertEquals(Urgency.of(1, List.of(1, 1)).level(), Urgency.Level.EQUAL);
        assertEquals(Urgency.of(1, List.of()).level(), Urgency.Level.EQUAL);
    }

    /** A team may have a priority that no route of the service has. */
    @Test
    public void priorityOfATeamIsComparedWithTheRoutes() {
        assertEquals(Urgency.of(0, List.of(1, 2)).level(), Urgency.Level.HIGHEST);
        assertEquals(Urgency.of(9, List.of(1, 2)), new Urgency(9, 2, 0));
    }

    /** Failure: an engine without a report, or one that reports no priorities, gets no request. */
    @Test
    public void nothingIsLeftFreeWithoutReportedPriorities() {
        ReservationWait search = start(RetryStage.FIRST, new Urgency(2, 2, 0));
        assertEquals(search.urgentTokens(0, 5_000, AVERAGE, List.of()), 0);
        List<RunningGeneration> unknown =
                List.of(new RunningGeneration(6_000, 10), new RunningGeneration(6_000, 10));
        assertEquals(search.urgentTokens(0, 5_000, AVERAGE, unknown), 0);
    }

    /**
     * Failure: requests of one class, or of a less urgent one, hold memory back from each other.
     */
    @Test
    public void memoryIsLeftFreeForMoreUrgentRequestsOnly() {
        List<RunningGeneration> running = List.of(run(0), run(1), run(1), run(2));
        assertEquals(left(new Urgency(0, 0, 2), running), 0);
        assertEquals(left(new Urgency(1, 1, 1), running), 2 * 6_000 / 4);
        assertEquals(left(new Urgency(2, 2, 0), running), 2 * 6_000 * 3 / 4);
        assertEquals(left(Urgency.EQUAL, running), 0);
    }

    /** Failure: a less urgent request is refused at the end of its wait for the sake of others. */
    @Test
    public void nothingIsLeftFreeInTheFinalPartOfTheWait() {
        ReservationWait search = start(RetryStage.FIRST, new Urgency(2, 2, 0));
        long finalMillis = (long) (search.waitMillis() * (1 - RetryStage.FINAL_SHARE)) + 1;
        assertEquals(search.urgentTokens(finalMillis, 5_000, AVERAGE, List.of(run(0))), 0);
    }

    /** The rules of a request that is late already, or that may have run, do not change. */
    @Test
    public void returningAndRetriedRequestsIgnoreUrgency() {
        for (RetryStage stage : List.of(RetryStage.RETURNING, RetryStage.RETRY)) {
            ReservationWait equal = start(stage, Urgency.EQUAL);
            ReservationWait lowest = start(stage, new Urgency(2, 2, 0));
            assertEquals(lowest.urgentTokens(0, 5_000, AVERAGE, List.of(run(0))), 0);
            ReservePacing equalPacing = new ReservePacing();
            ReservePacing lowestPacing = new ReservePacing();
            for (int round = 0; round < 4; round++) {
                assertEquals(
                        lowestPacing.pauseMillis(lowest, 0), equalPacing.pauseMillis(equal, 0));
            }
        }
    }

    private static long left(Urgency urgency, List<RunningGeneration> running) {
        return start(RetryStage.FIRST, urgency).urgentTokens(0, 5_000, AVERAGE, running);
    }

    private static ReservationWait start(RetryStage stage, Urgency urgency) {
        return ReservationWait.begin(0, LIMITS, stage, urgency);
    }

    private static RunningGeneration run(int priority) {
        return new RunningGeneration(6_000, 10, OptionalInt.of(priority));
    }
}
