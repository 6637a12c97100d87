package org.cyclamenpaddle.relay.course;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.invariant.BrokenInvariantException;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.testng.annotations.Test;

/** Tests what {@link Course} lets be sent again, and what a caller is told. */
public class CourseTest {

    private static final long PATIENCE = 1_000;
    private static final int RUNS = 20_000;

    private static Course course(boolean repeatable, int attempts) {
        return new Course(new CourseTerms(repeatable, attempts, PATIENCE), 0);
    }

    /**
     * A booking reaches a server and the connection breaks. The caller sees a 502: the booking may
     * have run, so it is neither sent again nor said not to have run.
     */
    @Test
    public void bookingThatMayHaveRunIsNeverSentAgain() {
        Course course = course(false, 3);
        course.sending();
        assertEquals(course.ended(SendOutcome.UNKNOWN, 10, () -> true), NextStep.END);
        assertEquals(course.reply(SendOutcome.UNKNOWN, 10), CallerReply.FAILED);
        Course broken = course(false, 3);
        broken.sending();
        broken.ended(SendOutcome.UNKNOWN, 10, () -> true);
        assertThrows(BrokenInvariantException.class, broken::sending);
    }

    @Test
    public void rejectedBookingGoesToAnotherServerWithinItsAttempts() {
        Course course = course(false, 2);
        course.sending();
        assertEquals(course.ended(SendOutcome.REJECTED, 10, () -> true), NextStep.SEND_AGAIN);
        course.sending();
        assertEquals(course.ended(SendOutcome.REJECTED, 20, () -> true), NextStep.END);
        assertEquals(course.reply(SendOutcome.REJECTED, 20), CallerReply.NOT_RUN);
    }

    @Test
    public void repeatNeedsTheSharedBudgetUnlessNothingWasSent() {
        Course rejected = course(true, 3);
        rejected.sending();
        assertEquals(rejected.ended(SendOutcome.REJECTED, 10, () -> false), NextStep.END);
        Course unsent = course(true, 3);
        unsent.sending();
        assertEquals(unsent.ended(SendOutcome.NOT_SENT, 10, () -> false), NextStep.SEND_AGAIN);
        assertEquals(unsent.sends(), 0);
    }

    @Test
    public void goingOnWhereItRanUsesNoAttemptAndMayHaveRun() {
        Course course = course(true, 1);
        course.sending();
        assertTrue(course.mayGoOnHere(10));
        assertFalse(course.goingOnHere(() -> false));
        assertTrue(course.goingOnHere(() -> true));
        assertTrue(course.goingOnHere(() -> true));
        assertFalse(course.mayGoOnHere(20), "a server that breaks again and again");
        assertEquals(course.sends(), 1);
        assertEquals(course.ended(SendOutcome.REJECTED, 30, () -> true), NextStep.END);
        assertEquals(course.reply(SendOutcome.REJECTED, 30), CallerReply.FAILED);
    }

    @Test
    public void bookingNeverGoesOnWhereItMayHaveRun() {
        Course course = course(false, 3);
        course.sending();
        assertFalse(course.mayGoOnHere(10));
    }

    @Test
    public void answerIsTimedOutOnlyIfItMayHaveRun() {
        Course sent = course(true, 1);
        sent.sending();
        assertEquals(sent.reply(SendOutcome.UNKNOWN, PATIENCE), CallerReply.TIMED_OUT);
        assertEquals(course(true, 1).reply(SendOutcome.NOT_SENT, PATIENCE), CallerReply.NOT_RUN);
    }

    @Test
    public void failureAfterTheFirstEventIsNotPassedOn() {
        Course course = course(true, 2);
        course.sending();
        course.forwarding();
        assertEquals(course.ended(SendOutcome.UNKNOWN, 10, () -> true), NextStep.SEND_AGAIN);
        course.sending();
        assertEquals(course.ended(SendOutcome.FAILED, 20, () -> true), NextStep.END);
    }

    @Test
    public void serversOwnFailureIsPassedOnWhenNoAttemptIsLeft() {
        Course course = course(false, 1);
        course.sending();
        assertEquals(course.ended(SendOutcome.FAILED, 10, () -> true), NextStep.PASS_ON);
    }

    /**
     * Random courses of all kinds. Whatever the servers do: no request that must not repeat is sent
     * after a send that may have run, sends stay within the attempts, and "not run" is said only if
     * no send may have run.
     */
    @Test
    public void randomCoursesKeepThePromises() {
        Random random = new Random(7);
        IntStream.range(0, RUNS).forEach(run -> randomCourse(random));
    }

    private static void randomCourse(Random random) {
        boolean repeatable = random.nextBoolean();
        int attempts = 1 + random.nextInt(3);
        Course course = course(repeatable, attempts);
        List<SendOutcome> sends = new ArrayList<>();
        long now = 0;
        NextStep next = NextStep.SEND_AGAIN;
        while (next == NextStep.SEND_AGAIN) {
            boolean mayHaveRun = sends.stream().anyMatch(SendOutcome::mayHaveRun);
            assertTrue(repeatable || !mayHaveRun, "sent again after " + sends);
            course.sending();
            while (course.mayGoOnHere(now) && random.nextBoolean()) {
                assertTrue(repeatable, "goes on where it ran, though it must not repeat");
                if (course.goingOnHere(random::nextBoolean)) {
                    sends.add(SendOutcome.UNKNOWN);
                }
            }
            SendOutcome outcome = SendOutcome.values()[random.nextInt(SendOutcome.values().length)];
            sends.add(outcome);
            now += random.nextInt(400);
            next = course.ended(outcome, now, random::nextBoolean);
            assertTrue(course.sends() <= attempts);
            assertTrue(
                    sends.size() <= attempts + Course.MOST_UNSENT + Course.MOST_GONE_ON_HERE,
                    "endless: " + sends);
        }
        if (next == NextStep.END) {
            boolean mayHaveRun = sends.stream().anyMatch(SendOutcome::mayHaveRun);
            CallerReply reply = course.reply(sends.get(sends.size() - 1), now);
            assertEquals(reply == CallerReply.NOT_RUN, !mayHaveRun, "told after " + sends);
        } else {
            SendOutcome last = sends.get(sends.size() - 1);
            assertTrue(last.serverAnswered(), "passed on after " + last);
        }
    }
}
